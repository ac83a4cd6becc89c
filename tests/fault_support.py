"""Time limits, load and assertions of the fault tests."""

import gevent

from kingcupport.standins import fault_harness
from kingcupport.standins import process_probe

START_TIMEOUT_MS = fault_harness.START_TIMEOUT_MS
IN_FORCE_LIMIT_MS = fault_harness.IN_FORCE_LIMIT_MS
SEED = fault_harness.SEED
# A withdrawn backend server gets no new work after this time (design.md 1.3).
NO_NEW_WORK_AFTER_MS = 3_000
# Time in which a drained agent closes its ports and exits.
EXIT_TIMEOUT_MS = 5_000


def sleep_ms(duration_ms):
    """Wait while the load keeps running."""
    gevent.sleep(duration_ms / 1000)


def start_load(harness, duration_ms, warm_up_ms=2_000, **plan):
    """Start the usual load and let it run for a while before the fault.

    Args:
        harness: FaultHarness.
        duration_ms: How long requests are sent, in ms.
        warm_up_ms: How long the load runs before this returns.
        **plan: Other fields of LoadPlan.
    """
    harness.start_load(
        duration_ms=duration_ms, connections_count=40, rate_per_s=60, **plan
    )
    sleep_ms(warm_up_ms)


def assert_invariants(report):
    """Check the guarantees that hold under any fault.

    Broken connections are allowed.
    """
    errors = report.first_errors
    assert report.answered > 0, errors
    assert report.wrong == 0, errors
    assert report.run_twice == 0, errors
    assert report.ran_after_not_run == 0, errors
    assert report.runs_not_read == 0, errors


def assert_callers_unaffected(report):
    """Check that no caller noticed the fault or the change."""
    assert_invariants(report)
    assert report.connections_broken == 0, report.first_errors
    assert report.lost == 0, report.first_errors


def assert_hands_over_all_connections(harness, member):
    """Wait until a withdrawn agent owns no connection; check the handovers.

    Call this while the agent drains: 15 s after its drain it exits, and its
    metrics are no longer available.
    """
    deadline_ms = harness.clock.monotonic_ms() + IN_FORCE_LIMIT_MS
    while harness.metric(member, 'connections'):
        assert harness.clock.monotonic_ms() < deadline_ms
        sleep_ms(100)
    assert harness.metric(member, 'handed_over_total') > 0


def assert_exits_without_connections(harness, member):
    """Wait until a withdrawn agent exits; it must take no connection."""
    while harness.group.running(member.name):
        try:
            assert harness.metric(member, 'connections') == 0
        except process_probe.ProbeError:
            break
        sleep_ms(500)
    assert harness.group.wait(member.name, EXIT_TIMEOUT_MS) == 0
