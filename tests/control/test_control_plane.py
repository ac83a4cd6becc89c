"""Tests complete control planes that communicate on loopback."""

import control_support as support
import pytest

from kingcupport.wire import control_messages


@pytest.fixture
def running():
    started = []
    yield started
    for resource in reversed(started):
        resource.stop()


@pytest.fixture
def service(running):
    running.append(support.ConfigurationService().start())
    return running[0]


def _start_processes(running, count, service, **options):
    processes = [
        support.Process(f'b{i}', service.address, **options)
        for i in range(count)
    ]
    running.extend(processes)
    service.publish(support.make_first_note([p.address for p in processes]))
    for process in processes:
        process.start()
    return processes


def _have_revision(processes, revision):
    return lambda: all(p.fleet.revision == revision for p in processes)


def _are_ready(processes):
    return lambda: all(p.plane.ready for p in processes)


def test_note_is_in_force_everywhere_within_five_seconds(running, service):
    # Requirement 8: a note is in force on all processes within 5 s in normal
    # operation.
    processes = _start_processes(running, 8, service)
    assert support.wait_until(_are_ready(processes), 5)
    service.publish(support.make_note(service.fleet))
    assert support.wait_until(_have_revision(processes, 2), 5)
    assert len({p.fleet.digest for p in processes}) == 1


def test_note_spreads_while_the_service_is_down(running, service):
    # Guards against notes that processes get only from the service.
    processes = _start_processes(running, 8, service)
    assert support.wait_until(_are_ready(processes), 5)
    service.stop()
    note = support.make_note(service.fleet)
    processes[3].plane.registry.offer_note(note, 'test')
    assert support.wait_until(_have_revision(processes, 2), 10)


def test_seeds_suffice_while_the_service_is_down(running, service):
    # Guards against a restart that fails without the service.
    processes = _start_processes(running, 3, service)
    assert support.wait_until(_are_ready(processes), 5)
    service.stop()
    new_process = support.Process(
        'b9', service.address, seeds=(processes[0].address,)
    )
    running.append(new_process.start())
    assert support.wait_until(lambda: new_process.plane.ready, 5)
    assert new_process.fleet == processes[0].fleet


def test_process_without_any_source_is_not_ready(running):
    # Guards against traffic to a process that has no fleet.
    isolated = support.Process('b0').start()
    running.append(isolated)
    assert not support.wait_until(lambda: isolated.plane.ready, 1.5)


def test_status_and_audit_are_answered(running, service):
    # Guards the replies that the command line reads.
    (process,) = _start_processes(
        running, 1, service, figures=lambda: {'connections': 7}
    )
    assert support.wait_until(_are_ready([process]), 5)
    client = support.Process('cli').start()
    running.append(client)
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
