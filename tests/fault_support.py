"""What the fault tests share: limits and what must hold."""

import gevent

from kingcupport.standins import fault_bed
from kingcupport.standins import process_probe

START_TIMEOUT_MS = fault_bed.START_TIMEOUT_MS
IN_FORCE_LIMIT_MS = fault_bed.IN_FORCE_LIMIT_MS
SEED = fault_bed.SEED
# After that a withdrawn backend server gets no new work (design.md 1.3).
NO_NEW_WORK_AFTER_MS = 3_000
# An agent closes its ports and ends.
END_TIMEOUT_MS = 5_000


def sleep_ms(duration_ms):
    """Wait while the load goes on."""
    gevent.sleep(duration_ms / 1000)


def start_load(bed, duration_ms, lead_ms=2_000, **plan):
    """Start the usual load and let it run before the fault comes.

    Args:
        bed: FaultBed.
        duration_ms: How long requests are sent.
        lead_ms: How long to wait.
        **plan: Further fields of LoadPlan.
    """
    bed.start_load(
        duration_ms=duration_ms, connections_count=40, rate_per_s=60, **plan
    )
    sleep_ms(lead_ms)


def assert_safe(report):
    """Check what must hold under any fault, broken connections aside."""
    errors = report.first_errors
    assert report.answered > 0, errors
    assert report.wrong == 0, errors
    assert report.run_twice == 0, errors
    assert report.ran_after_not_run == 0, errors
    assert report.runs_not_read == 0, errors


def assert_unharmed(report):
    """Check that no caller noticed the change."""
    assert_safe(report)
    assert report.connections_broken == 0, report.first_errors
    assert report.lost == 0, report.first_errors


def assert_gives_all_away(bed, member):
    """Wait until a withdrawn agent owns no connection; it gave some away.

    To be called while the agent drains: it ends 15 s after its drain, and
    its metrics with it.
    """
    deadline_ms = bed.clock.monotonic_ms() + IN_FORCE_LIMIT_MS
    while bed.metric(member, 'connections'):
        assert bed.clock.monotonic_ms() < deadline_ms
        sleep_ms(100)
    assert bed.metric(member, 'handed_over_total') > 0


def assert_ends_empty(bed, member):
    """Wait for the end of a withdrawn agent that took nothing back."""
    while bed.group.running(member.name):
        try:
            assert bed.metric(member, 'connections') == 0
        except process_probe.ProbeError:
            break
        sleep_ms(500)
    assert bed.group.wait(member.name, END_TIMEOUT_MS) == 0
