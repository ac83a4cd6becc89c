"""Checks the guarantees to callers while two faults overlap."""

import fault_support

from kingcupport.standins import json_client


def _stop_configuration_service(bed):
    json_client.call(
        bed.deployment.configuration_address,
        'PUT',
        '/_faults',
        {name: {'down': True} for name in ('notes', 'fleet', 'instances')},
    )


def test_balancer_dies_while_an_agent_drains(bed):
    """Handoffs complete although packets are lost with the dead balancer."""
    fault_support.start_load(bed, 6_000, service_time_ms=20)
    leaving = bed.members('ticketing')[0]
    bed.group.terminate(leaving.name)
    bed.group.kill(bed.members('')[0].name)
    report = bed.finish_load()
    fault_support.assert_callers_unaffected(report)
    assert bed.group.wait(leaving.name, 30_000) == 0


def test_agent_dies_while_the_service_is_down(bed):
    """No note can withdraw the agent; the others serve, nothing runs twice."""
    _stop_configuration_service(bed)
    fault_support.start_load(bed, 8_000, keyed_percent=50, unkeyed_percent=10)
    bed.group.kill(bed.members('ticketing')[0].name)
    fault_support.assert_invariants(bed.finish_load())


def test_agent_restarts_while_another_is_paused(bed):
    """The restarted key agent cannot get its claims from the paused one."""
    fault_support.start_load(bed, 10_000, keyed_percent=60)
    restarted, paused, *_ = bed.members('ticketing')
    bed.group.pause(paused.name)
    bed.group.kill(restarted.name)
    bed.deployment.start_member_process(restarted)
    fault_support.sleep_ms(3_000)
    bed.group.resume(paused.name)
    fault_support.assert_invariants(bed.finish_load())


def test_note_comes_while_a_balancer_dies_and_an_agent_is_paused(bed):
    """A withdrawn agent hands over its connections, one receiver paused."""
    fault_support.start_load(bed, 9_000, keyed_percent=40)
    leaving, paused, *_ = bed.members('ticketing')
    bed.group.pause(paused.name)
    bed.group.kill(bed.members('')[0].name)
    bed.deployment.publish({'withdrawn': {'backend_servers': [leaving.name]}})
    fault_support.sleep_ms(2_000)
    bed.group.resume(paused.name)
    fault_support.sleep_ms(fault_support.NO_NEW_WORK_AFTER_MS)
    runs_after_withdrawal = bed.deployment.runs_of(leaving)
    report = bed.finish_load()
    fault_support.assert_invariants(report)
    assert bed.deployment.runs_of(leaving) == runs_after_withdrawal
