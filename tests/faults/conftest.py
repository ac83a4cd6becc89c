"""Fixture that starts one deployment for each fault test."""

import pytest

from kingcupport.standins import fault_bed


@pytest.fixture
def bed(tmp_path):
    """A FaultBed with the first release note in force."""
    fault_deployment = fault_bed.FaultBed(tmp_path)
    try:
        fault_deployment.start()
        yield fault_deployment
    finally:
        fault_deployment.stop()
