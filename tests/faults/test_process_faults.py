"""Checks the guarantees to callers when processes die or are paused."""

import fault_support


def test_balancer_dies(harness):
    """Only packets in transit are lost, and they are sent again."""
    fault_support.start_load(harness, 6_000, warm_up_ms=1_500)
    harness.group.kill(harness.members('')[0].name)
    fault_support.assert_callers_unaffected(harness.finish_load())


def test_agent_dies(harness):
    """Only its own connections break, and nothing runs twice."""
    fault_support.start_load(
        harness, 8_000, keyed_percent=50, unkeyed_percent=20
    )
    victim = harness.members('ticketing')[0]
    owned_connections = harness.metric(victim, 'connections')
    harness.group.kill(victim.name)
    report = harness.finish_load()
    fault_support.assert_invariants(report)
    # Callers get a reset at once instead of waiting for a timeout.
    assert report.connections_broken <= owned_connections


def test_agent_is_paused_and_wakes(harness):
    """It resumes with outdated state, and nothing runs twice."""
    fault_support.start_load(
        harness, 9_000, keyed_percent=50, unkeyed_percent=20
    )
    victim = harness.members('ticketing')[0]
    harness.group.pause(victim.name)
    fault_support.sleep_ms(3_000)
    harness.group.resume(victim.name)
    fault_support.assert_invariants(harness.finish_load())


def test_paused_agent_is_withdrawn_and_wakes(harness):
    """An owner of keys and connections resumes after its withdrawal."""
    fault_support.start_load(harness, 10_000, keyed_percent=50)
    victim = harness.members('ticketing')[0]
    harness.group.pause(victim.name)
    harness.deployment.publish(
        {'withdrawn': {'backend_servers': [victim.name]}}
    )
    fault_support.sleep_ms(4_000)
    harness.group.resume(victim.name)
    fault_support.sleep_ms(fault_support.NO_NEW_WORK_AFTER_MS)
    runs_after_withdrawal = harness.deployment.runs_of(victim)
    report = harness.finish_load()
    fault_support.assert_invariants(report)
    assert harness.deployment.runs_of(victim) == runs_after_withdrawal


def test_backend_server_dies(harness):
    """Its requests are refused or run on other servers, never twice."""
    fault_support.start_load(
        harness, 6_000, warm_up_ms=1_500, keyed_percent=40
    )
    victim = harness.members('ticketing')[0]
    harness.group.kill(victim.server_process_name)
    report = harness.finish_load(left_out=(victim,))
    fault_support.assert_invariants(report)
    assert report.connections_broken == 0, report.first_errors


def test_agent_restarts_with_empty_memory(harness):
    """A retry of a key that ran before the restart does not run again."""
    fault_support.start_load(harness, 9_000, keyed_percent=60)
    victim = harness.members('ticketing')[0]
    harness.group.kill(victim.name)
    harness.deployment.start_member_process(victim)
    fault_support.assert_invariants(harness.finish_load())
