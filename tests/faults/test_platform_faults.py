"""Checks a faulty configuration service, a lossy fabric and bad input."""

import random

import fault_support
import pytest

from kingcupport.standins import json_client


def _set_configuration_fault(harness, **faults):
    json_client.call(
        harness.deployment.configuration_address,
        'PUT',
        '/_faults',
        dict.fromkeys(('notes', 'fleet', 'instances'), faults),
    )


def _revisions(harness):
    return {
        name: member.probe().revision()
        for name, member in harness.deployment.members.items()
    }


def _weight_change_note(harness):
    server = harness.members('audio')[0]
    return {'changed': {'backend_servers': [server.entry(weight=150)]}}


def test_note_spreads_by_peers_while_the_service_is_down(harness):
    """One process has read the note; the others receive it from peers."""
    members = list(harness.deployment.members.values())
    reader, *others = members
    for member in others:
        harness.group.pause(member.name)
    harness.deployment.publish(_weight_change_note(harness))
    deadline_ms = (
        harness.clock.monotonic_ms() + fault_support.IN_FORCE_LIMIT_MS
    )
    harness.deployment.wait_until(
        lambda: reader.probe().revision() == 2, deadline_ms
    )
    _set_configuration_fault(harness, down=True)
    for member in others:
        harness.group.resume(member.name)
    harness.deployment.wait_in_force(fault_support.IN_FORCE_LIMIT_MS)


def test_stale_service_does_not_revert_a_fleet(harness):
    harness.deployment.publish(_weight_change_note(harness))
    harness.deployment.wait_in_force(fault_support.IN_FORCE_LIMIT_MS)
    _set_configuration_fault(harness, stale_revision=1)
    victim = harness.members('audio')[1]
    harness.group.kill(victim.name)
    harness.deployment.start_member_process(victim)
    deadline_ms = harness.clock.monotonic_ms() + fault_support.START_TIMEOUT_MS
    harness.deployment.wait_until(victim.started, deadline_ms)
    # A process is ready only after it has asked its peers too, so the old
    # fleet of the service must not be in force in the restarted one.
    assert set(_revisions(harness).values()) == {2}


def test_requests_are_served_while_the_service_is_down(harness):
    _set_configuration_fault(harness, down=True)
    harness.start_load(duration_ms=3_000, connections_count=20, rate_per_s=50)
    fault_support.assert_callers_unaffected(harness.finish_load())


@pytest.mark.parametrize(
    'faults',
    [
        {'drop_percent': 5, 'duplicate_percent': 5, 'reorder_percent': 5},
    ],
    ids=['lossy fabric'],
)
def test_packets_are_lost_doubled_and_reordered(harness, faults):
    json_client.call(
        harness.deployment.fabric_control_address, 'PUT', '/_faults', faults
    )
    harness.start_load(
        duration_ms=5_000,
        connections_count=30,
        rate_per_s=40,
        keyed_percent=30,
        unkeyed_percent=20,
        answer_bytes=8_000,
    )
    fault_support.assert_callers_unaffected(harness.finish_load())


def test_random_datagrams_end_no_process(harness):
    """Malformed datagrams are counted and dropped; callers are served."""
    import gevent.socket

    rng = random.Random(fault_support.SEED)
    sock = gevent.socket.socket(type=gevent.socket.SOCK_DGRAM)
    harness.start_load(duration_ms=4_000, connections_count=20, rate_per_s=40)
    for _ in range(300):
        for member in harness.deployment.members.values():
            data = rng.randbytes(rng.randrange(200))
            sock.sendto(data, member.address.as_tuple())
        fault_support.sleep_ms(5)
    sock.close()
    fault_support.assert_callers_unaffected(harness.finish_load())
    for member in harness.deployment.members.values():
        assert harness.metric(member, 'malformed_total') > 0


def test_envelope_for_another_service_is_refused(harness):
    """An address may be reused by another service than the sender expects."""
    import gevent.socket

    from kingcupport.wire import datagrams
    from kingcupport.wire import packet

    agent = harness.members('ticketing')[0]
    audio = harness.deployment.service_addresses['audio']
    data = packet.encode_packet(
        packet.Packet(
            kind=int(packet.PacketKind.OPEN),
            connection_id=7,
            stream_id=0,
            offset=0,
            ack=0,
            payload=b'',
            caller_address='127.0.0.1:1024',
            service_address=str(audio),
            return_address='127.0.0.1:9',
        )
    )
    sock = gevent.socket.socket(type=gevent.socket.SOCK_DGRAM)
    for service in ('audio', 'ticketing'):
        envelope = datagrams.encode_envelope(
            service, 1, '127.0.0.1:9', [], data
        )
        sock.sendto(envelope, agent.address.as_tuple())
    fault_support.sleep_ms(300)
    sock.close()
    assert harness.metric(agent, 'wrong_service_total') == 2
    assert harness.metric(agent, 'connections') == 0
