"""Runs whole control planes on loopback."""

import control_support as support
import pytest

from kingcupport.wire import control_messages


@pytest.fixture
def stops():
    started = []
    yield started
    for thing in reversed(started):
        thing.stop()


@pytest.fixture
def service(stops):
    stops.append(support.ConfigurationService().start())
    return stops[0]


def _start_processes(stops, count, service, **options):
    processes = [
        support.Process(f'b{i}', service.address, **options)
        for i in range(count)
    ]
    stops.extend(processes)
    service.publish(support.make_first_note([p.address for p in processes]))
    for process in processes:
        process.start()
    return processes


def _all_have(processes, revision):
    return lambda: all(p.fleet.revision == revision for p in processes)


def _all_ready(processes):
    return lambda: all(p.plane.ready for p in processes)


def test_note_is_in_force_everywhere_within_five_seconds(stops, service):
    # Guards the target of requirement 8 in normal operation.
    processes = _start_processes(stops, 8, service)
    assert support.wait_until(_all_ready(processes), 5)
    service.publish(support.make_note(service.fleet))
    assert support.wait_until(_all_have(processes, 2), 5)
    assert len({p.fleet.digest for p in processes}) == 1


def test_note_spreads_while_the_service_is_down(stops, service):
    # Guards against a note that only the service can spread.
    processes = _start_processes(stops, 8, service)
    assert support.wait_until(_all_ready(processes), 5)
    service.stop()
    note = support.make_note(service.fleet)
    processes[3].plane.keeper.offer_note(note, 'test')
    assert support.wait_until(_all_have(processes, 2), 10)


def test_seeds_suffice_while_the_service_is_down(stops, service):
    # Guards against a restart that needs the service.
    processes = _start_processes(stops, 3, service)
    assert support.wait_until(_all_ready(processes), 5)
    service.stop()
    joiner = support.Process(
        'b9', service.address, seeds=(processes[0].address,)
    )
    stops.append(joiner.start())
    assert support.wait_until(lambda: joiner.plane.ready, 5)
    assert joiner.fleet == processes[0].fleet


def test_process_without_any_source_is_not_ready(stops):
    # Guards against traffic on a process that has no fleet.
    alone = support.Process('b0').start()
    stops.append(alone)
    assert not support.wait_until(lambda: alone.plane.ready, 1.5)


def test_status_and_audit_are_answered(stops, service):
    # Guards what the command line reads.
    (process,) = _start_processes(
        stops, 1, service, figures=lambda: {'connections': 7}
    )
    assert support.wait_until(_all_ready([process]), 5)
    client = support.Process('cli').start()
    stops.append(client)
    deadline_ms = 1e15
    status = client.plane.pool.call_address(
        process.address,
        control_messages.StatusRequest('cli', 0),
        deadline_ms,
    )
    assert (status.revision, status.state) == (1, 'ready')
    assert status.figures['connections'] == 7
    audit = client.plane.pool.call_address(
        process.address,
        control_messages.AuditRequest('cli', 0, 0),
        deadline_ms,
    )
    assert [e['kind'] for e in audit.events] == ['note_accepted']
