"""Starts the programs of the platform for each test of a whole path."""

import platform_bed
import pytest


@pytest.fixture
def bed(tmp_path):
    """A Bed all of whose balancers send requests to all servers."""
    bed = platform_bed.Bed(tmp_path)
    try:
        assert bed.wait_until(lambda: all(map(bed.is_ready, bed.processes)))
        # A balancer prefers servers whose agents it has heard of.
        assert bed.wait_until(bed.is_served_by_all)
        yield bed
    finally:
        bed.close()
