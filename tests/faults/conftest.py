"""Starts one deployment for each fault test."""

import pytest

from kingcupport.standins import fault_bed


@pytest.fixture
def bed(tmp_path):
    """A FaultBed with the first release note in force."""
    running = fault_bed.FaultBed(tmp_path)
    try:
        running.start()
        yield running
    finally:
        running.stop()
