"""Fixture that runs the platform's programs for end-to-end tests."""

import platform_harness
import pytest


@pytest.fixture
def harness(tmp_path):
    """A PlatformHarness whose balancers already send to every server."""
    harness = platform_harness.PlatformHarness(tmp_path)
    try:
        assert harness.wait_until(
            lambda: all(map(harness.is_ready, harness.processes))
        )
        # A balancer prefers servers whose agents have reported to it, so wait
        # until all have.
        assert harness.wait_until(harness.are_all_servers_used)
        yield harness
    finally:
        harness.close()
