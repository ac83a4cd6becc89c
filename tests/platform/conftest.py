"""Starts the programs of the platform for each test of a whole path."""

import platform_bed
import pytest


@pytest.fixture
def bed(tmp_path):
    """A Bed that serves requests."""
    bed = platform_bed.Bed(tmp_path)
    try:
        assert bed.wait_until(lambda: bed.is_ready('127.0.2.1'))
        assert bed.wait_until(lambda: bed.is_ready('127.0.2.2'))
        assert bed.wait_until(lambda: bed.serve() is not None)
        yield bed
    finally:
        bed.close()
