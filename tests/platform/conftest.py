"""Fixture that runs the platform's programs for end-to-end tests."""

import platform_bed
import pytest


@pytest.fixture
def bed(tmp_path):
    """A Bed in which every balancer already sends requests to every server."""
    bed = platform_bed.Bed(tmp_path)
    try:
        assert bed.wait_until(lambda: all(map(bed.is_ready, bed.processes)))
        # A balancer prefers servers whose agents have reported to it, so wait
        # until all have.
        assert bed.wait_until(bed.are_all_servers_used)
        yield bed
    finally:
        bed.close()
