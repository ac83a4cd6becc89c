"""Starts one deployment for each fault test."""

import fault_bed
import pytest


@pytest.fixture
def bed(tmp_path):
    """A FaultBed with the first release note in force."""
    running = fault_bed.FaultBed(tmp_path)
    try:
        running.start()
        yield running
    finally:
        running.stop()
