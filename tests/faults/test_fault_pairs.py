"""Checks the guarantees to callers while two faults overlap."""

import fault_support

from kingcupport.standins import json_client


def _stop_configuration_service(harness):
    json_client.call(
        harness.deployment.configuration_address,
        'PUT',
        '/_faults',
        {name: {'down': True} for name in ('notes', 'fleet', 'instances')},
    )


def test_balancer_dies_while_an_agent_drains(harness):
    """Handoffs complete although packets are lost with the dead balancer."""
    fault_support.start_load(harness, 6_000, service_time_ms=20)
    leaving = harness.members('ticketing')[0]
    harness.group.terminate(leaving.name)
    harness.group.kill(harness.members('')[0].name)
    report = harness.finish_load()
    fault_support.assert_callers_unaffected(report)
    assert harness.group.wait(leaving.name, 30_000) == 0


def test_agent_dies_while_the_service_is_down(harness):
    """No note can withdraw the agent; the others serve, nothing runs twice."""
    _stop_configuration_service(harness)
    fault_support.start_load(
        harness, 8_000, keyed_percent=50, unkeyed_percent=10
    )
    harness.group.kill(harness.members('ticketing')[0].name)
    fault_support.assert_invariants(harness.finish_load())


def test_agent_restarts_while_another_is_paused(harness):
    """The restarted key agent cannot get its claims from the paused one."""
    fault_support.start_load(harness, 10_000, keyed_percent=60)
    restarted, paused, *_ = harness.members('ticketing')
    harness.group.pause(paused.name)
    harness.group.kill(restarted.name)
    harness.deployment.start_member_process(restarted)
    fault_support.sleep_ms(3_000)
    harness.group.resume(paused.name)
    fault_support.assert_invariants(harness.finish_load())


def test_note_comes_while_a_balancer_dies_and_an_agent_is_paused(harness):
    """A withdrawn agent hands over its connections, one receiver paused."""
    fault_support.start_load(harness, 9_000, keyed_percent=40)
    leaving, paused, *_ = harness.members('ticketing')
    harness.group.pause(paused.name)
    harness.group.kill(harness.members('')[0].name)
    harness.deployment.publish(
        {'withdrawn': {'backend_servers': [leaving.name]}}
    )
    fault_support.sleep_ms(2_000)
    harness.group.resume(paused.name)
    fault_support.sleep_ms(fault_support.NO_NEW_WORK_AFTER_MS)
    runs_after_withdrawal = harness.deployment.runs_of(leaving)
    report = harness.finish_load()
    fault_support.assert_invariants(report)
    assert harness.deployment.runs_of(leaving) == runs_after_withdrawal
