"""Tests the routing decisions of the balancer."""

import manual_clock
import pytest

from kingcupport.balancer import data_path
from kingcupport.balancer import data_path_counters
from kingcupport.common import address
from kingcupport.fleet import backend_server
from kingcupport.fleet import fleet as fleet_module
from kingcupport.fleet import service
from kingcupport.routing import hint_cache
from kingcupport.routing import suspects
from kingcupport.wire import datagrams
from kingcupport.wire import packet
from kingcupport.wire import packet_format

GATE = address.Address('127.0.0.1', 80)
AUDIO = address.Address('127.0.0.1', 81)
OWN = address.Address('127.0.0.1', 9000)
HOSTS = 4


def _make_fleet(hosts=HOSTS):
    members = {
        f'gate-{i}': backend_server.BackendServer(
            f'gate-{i}',
            'gate',
            address.Address('127.0.0.1', 9100 + i),
            address.Address('127.0.0.1', 9200 + i),
            'dakar-plateau',
        )
        for i in range(hosts)
    }
    services = {
        'gate': service.Service('gate', GATE),
        'audio': service.Service('audio', AUDIO),
    }
    return fleet_module.Fleet(1, 'd', services, {}, members)


class _DataPathHarness:
    """A DataPath on a manual clock that records the datagrams it sends."""

    def __init__(self, fleet):
        self.sent = []
        self.gone = frozenset()
        self.clock = manual_clock.ManualClock()
        self.hints = hint_cache.HintCache()
        self.path = data_path.DataPath(
            fleet,
            OWN,
            packet_format.make_packet_format(),
            lambda data, destination: self.sent.append((data, destination)),
            self.hints,
            suspects.Suspects(self.clock, 2000),
            lambda: self.gone,
            lambda datagram, source: None,
            data_path_counters.DataPathCounters(),
        )

    def receive(self, kind, connection_id=7, service_address=GATE):
        data = packet.encode_packet(
            packet.Packet(
                int(kind),
                connection_id,
                0,
                0,
                0,
                b'',
                '127.0.0.1:1024',
                str(service_address),
                '127.0.0.1:9999',
            )
        )
        self.path.on_data(data, ('127.0.0.1', 9999))


def test_lagging_balancer_breaks_no_connection():
    """A balancer drops packets for services that are not in its fleet.

    A balancer that has just joined may have an outdated fleet; it used to
    reset established connections of services that it did not know.
    """
    for fleet in (fleet_module.Fleet(), _make_fleet()):
        harness = _DataPathHarness(fleet)
        harness.receive(packet.PacketKind.DATA, service_address=AUDIO)
        harness.receive(packet.PacketKind.ACK, service_address=AUDIO)
        assert harness.sent == []
        assert harness.path.counters.dropped == 2


def test_open_for_an_unserved_address_is_reset():
    harness = _DataPathHarness(_make_fleet())
    harness.receive(packet.PacketKind.OPEN, service_address=AUDIO)
    ((data, destination),) = harness.sent
    assert packet.decode_packet(data).kind == packet.PacketKind.RESET
    assert destination == ('127.0.0.1', 9999)


def test_hint_is_used_until_its_agent_leaves():
    harness = _DataPathHarness(_make_fleet())
    harness.path.on_data(
        datagrams.encode_location_hint(datagrams.LocationHint(7, 'gate-3', 1)),
        ('127.0.0.1', 9103),
    )
    assert harness.path.target('gate', 7) == 'gate-3'
    harness.path.set_fleet(_make_fleet(hosts=3))
    assert harness.path.target('gate', 7) != 'gate-3'


def test_hint_of_another_service_is_not_used():
    """A hint never sends a packet to the agent of another service."""
    harness = _DataPathHarness(_make_fleet())
    harness.hints.put(7, 'gate-1')
    assert harness.path.target('audio', 7) is None


@pytest.mark.parametrize('connection_id', range(8))
def test_unreachable_agent_is_avoided_until_the_deadline(connection_id):
    harness = _DataPathHarness(_make_fleet())
    first = harness.path.target('gate', connection_id)
    port = harness.path.fleet.backend_servers[first].agent_address
    harness.path.on_unreachable(port.as_tuple())
    second = harness.path.target('gate', connection_id)
    table = harness.path.table('gate')
    assert second == table.candidates(connection_id, 2)[1]
    harness.clock.advance(2001)
    assert harness.path.target('gate', connection_id) == first


def test_instance_listed_as_gone_is_reached_by_a_hint_only():
    """A wrong instance list does not move a connection from its owner."""
    harness = _DataPathHarness(_make_fleet())
    owner = harness.path.target('gate', 7)
    harness.gone = frozenset((owner,))
    second = harness.path.table('gate').candidates(7, 2)[1]
    assert harness.path.target('gate', 7) == second
    harness.hints.put(7, owner)
    assert harness.path.target('gate', 7) == owner
