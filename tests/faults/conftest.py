"""Fixture that starts one deployment for each fault test."""

import pytest

from kingcupport.standins import fault_harness


@pytest.fixture
def harness(tmp_path):
    """A FaultHarness with the first release note in force."""
    fault_deployment = fault_harness.FaultHarness(tmp_path)
    try:
        fault_deployment.start()
        yield fault_deployment
    finally:
        fault_deployment.stop()
