"""Tests the routing of packets between balancers, agents and callers."""

import random

import attrs
import handoff_simulation
import hypothesis
from hypothesis import strategies
import pytest

from kingcupport.agent import data_path
from kingcupport.common import address
from kingcupport.fleet import backend_server
from kingcupport.fleet import service as service_module
from kingcupport.wire import datagrams
from kingcupport.wire import packet as packet_module

_KIND = packet_module.PacketKind
_NAMES = ('a', 'b', 'c', 'd')
_ID = 77


class _Harness:
    """One agent whose datagrams are recorded instead of sent."""

    def __init__(self):
        self.simulation = handoff_simulation.Simulation(_NAMES)
        self.agent = self.simulation.agents['a']
        self.sent = []
        self.agent.data_path._send = self._record_sent

    def _record_sent(self, data, destination):
        self.sent.append((data, destination))

    def deliver(self, kind, tried=(), **changes):
        fields = {
            'kind': int(kind),
            'connection_id': _ID,
            'stream_id': 5,
            'offset': 0,
            'ack': 0,
            'payload': b'',
            'caller_address': '10.9.9.9:1',
            'service_address': handoff_simulation.SERVICE_ADDRESS,
            'return_address': handoff_simulation.RETURN_ADDRESS,
        }
        fields.update(changes)
        self.deliver_data(
            datagrams.encode_envelope(
                handoff_simulation.SERVICE,
                1,
                handoff_simulation.BALANCER_ADDRESS,
                list(tried),
                packet_module.encode_packet(packet_module.Packet(**fields)),
            )
        )

    def deliver_data(self, data):
        self.agent.data_path.on_data(data, ('10.0.3.1', 7001))

    def forwarded(self):
        """Return the receiver and ``tried`` of each packet passed on."""
        names = {a.as_tuple(): n for n, a in self.simulation.addresses.items()}
        return [
            (names[to], datagrams.decode_datagram(data).tried)
            for data, to in self.sent
            if to in names
        ]

    def answers(self):
        """Return the kinds of the packets sent to the caller."""
        return [
            _KIND(packet_module.decode_packet(data).kind)
            for data, to in self.sent
            if to == ('10.0.2.1', 7000)
        ]

    def close(self):
        self.agent.kill()
        self.simulation.settle()


@pytest.fixture
def harness():
    new_harness = _Harness()
    yield new_harness
    new_harness.close()


def test_packet_of_an_owned_connection_is_delivered_with_a_hint(harness):
    """Guards against an extra hop for each subsequent packet."""
    harness.agent.factory.accept(
        packet_module.Packet(
            1, _ID, 0, 0, 0, b'', '', '10.0.0.1:80', '10.0.2.1:7000'
        )
    )
    owned = harness.agent.table.get(_ID)
    stream_id = owned.identity.stream_id
    harness.deliver(_KIND.ACK, stream_id=stream_id)
    assert harness.agent.counters.hints_sent == 0
    harness.deliver(_KIND.ACK, ('b',), stream_id=stream_id)
    hint = datagrams.decode_datagram(harness.sent[-1][0])
    assert hint == datagrams.LocationHint(_ID, 'a', 1)
    assert harness.sent[-1][1] == ('10.0.3.1', 7001)
    harness.simulation.settle()
    assert owned.confirmed


def test_other_stream_id_is_not_delivered(harness):
    """Guards against a half-open connection receiving another's bytes."""
    harness.agent.factory.accept(
        packet_module.Packet(
            1, _ID, 0, 0, 0, b'', '', '10.0.0.1:80', '10.0.2.1:7000'
        )
    )
    harness.deliver(_KIND.DATA, stream_id=5, payload=b'x')
    assert harness.forwarded()
    assert not harness.agent.table.get(_ID)._inbox


def test_unknown_connection_asks_previous_owner_then_candidates(harness):
    """Guards against a reset of a connection that another agent owns."""
    path = harness.agent.data_path
    harness.simulation.publish(('a', 'b', 'c'))
    for previous in ('d', 'b', 'c'):
        connection_id = next(
            i
            for i in range(1000)
            if path._previous_tables.table('gate').owner(i) == previous
        )
        harness.sent.clear()
        harness.deliver(_KIND.DATA, connection_id=connection_id)
        assert harness.forwarded() == [(previous, ['a'])]
    candidates = [n for n in path._candidates(connection_id) if n != 'a']
    harness.sent.clear()
    harness.deliver(_KIND.DATA, (previous,), connection_id=connection_id)
    (remaining,) = [n for n in candidates if n != previous]
    assert harness.forwarded() == [(remaining, [previous, 'a'])]


def test_withdrawn_agent_is_asked_before_a_reset(harness):
    """Guards against resets of connections that a withdrawn agent owns.

    A candidate may own a connection without owning its bucket.
    """
    path = harness.agent.data_path
    previous = path._tables.table('gate')
    connection_id = next(
        i
        for i in range(1000)
        if previous.owner(i) != 'd'
        and 'd' in previous.candidates(i, data_path.MAX_OWNER_CANDIDATES)
    )
    harness.simulation.publish(('a', 'b', 'c'))
    harness.deliver(_KIND.DATA, ('b', 'c'), connection_id=connection_id)
    assert harness.forwarded() == [('d', ['b', 'c', 'a'])]
    assert harness.answers() == []
    harness.deliver(_KIND.DATA, ('b', 'c', 'd'), connection_id=connection_id)
    assert harness.answers() == [_KIND.RESET]


def test_connection_that_nobody_owns_is_reset_at_once(harness):
    """Guards against callers that wait on a connection that is lost."""
    harness.deliver(_KIND.DATA, ('b', 'c', 'd'))
    assert harness.answers() == [_KIND.RESET]
    assert harness.agent.counters.unknown_connection == 1
    harness.sent.clear()
    harness.deliver(_KIND.RESET, ('b', 'c', 'd'))
    assert harness.sent == []


def test_agents_that_did_not_answer_are_left_out(harness):
    """Guards against forwarding packets repeatedly to dead agents."""
    for name in ('b', 'c', 'd'):
        harness.agent.suspects.add(name)
    harness.deliver(_KIND.DATA)
    assert harness.answers() == [_KIND.RESET]


def test_redirect_goes_first_even_if_it_was_tried(harness):
    """Guards against a reset when a handoff overtakes a packet.

    The receiver passed the packet on just before it adopted the connection,
    so the sender must redirect the packet back to it.
    """
    harness.agent.table.set_redirect(_ID, 'c')
    harness.deliver(_KIND.DATA)
    harness.deliver(_KIND.DATA, ('c',))
    harness.deliver(_KIND.OPEN, ('c',))
    assert harness.forwarded() == [('c', ['a']), *[('c', ['c', 'a'])] * 2]
    harness.sent.clear()
    harness.deliver(
        _KIND.DATA, ('c', 'b', 'd') * (data_path.MAX_REDIRECT_HOPS // 3)
    )
    assert harness.answers() == [_KIND.RESET]


def test_redirects_in_a_circle_end_in_a_reset():
    """Guards against packets that circulate between agents endlessly."""
    simulation = handoff_simulation.Simulation(_NAMES)
    for name, target in zip(_NAMES, 'bcda', strict=True):
        simulation.agents[name].table.set_redirect(_ID, target)
    caller = handoff_simulation.SimulatedCaller(simulation, _ID)
    simulation.callers.append(caller)
    caller.stream_id = 5
    simulation.clock.advance(100)
    caller.send(_KIND.DATA, payload=b'x')
    simulation.clock.advance(100)
    assert caller.was_reset
    passed = sum(a.counters.passed_on for a in simulation.agents.values())
    assert passed <= data_path.MAX_REDIRECT_HOPS + len(_NAMES)


def test_draining_agent_passes_open_on(harness):
    """Guards against new connections on a draining agent."""
    harness.agent.data_path.draining = True
    harness.deliver(_KIND.OPEN)
    assert len(harness.forwarded()) == 1
    assert len(harness.agent.table) == 0


@pytest.mark.parametrize('kind', [_KIND.OPEN, _KIND.DATA])
def test_other_service_is_refused(harness, kind):
    """Guards against packets that reach another service's server."""
    data = datagrams.encode_envelope(
        'audio', 1, handoff_simulation.BALANCER_ADDRESS, [], b''
    )
    harness.deliver_data(data)
    fleet = harness.simulation.fleet
    audio = service_module.Service(
        'audio', address.parse_address('10.0.0.2:80')
    )
    services = {**fleet.services, 'audio': audio}
    harness.agent.set_fleet(attrs.evolve(fleet, services=services))
    harness.deliver(kind, service_address='10.0.0.2:80')
    assert harness.agent.counters.wrong_service == 2
    assert harness.sent == []
    assert len(harness.agent.table) == 0


def test_packet_of_another_service_returns_to_its_agents(harness):
    """Guards against losing packets of a host that changed its service."""
    fleet = harness.simulation.fleet
    audio = service_module.Service(
        'audio', address.parse_address('10.0.0.2:80')
    )
    member = backend_server.BackendServer(
        'audio-1',
        'audio',
        address.parse_address('10.0.0.9:7000'),
        address.parse_address('10.0.0.9:8000'),
        'dakar-plateau',
    )
    harness.agent.set_fleet(
        attrs.evolve(
            fleet,
            services={**fleet.services, 'audio': audio},
            backend_servers={**fleet.backend_servers, 'audio-1': member},
        )
    )
    harness.deliver(_KIND.OPEN, service_address='10.0.0.2:80')
    ((data, destination),) = harness.sent
    assert destination == ('10.0.0.9', 7000)
    assert datagrams.decode_datagram(data).service == 'audio'
    assert datagrams.decode_datagram(data).tried == ['a']
    assert len(harness.agent.table) == 0


def test_bad_return_address_makes_no_connection(harness):
    """Guards against connections whose task fails on its first packet."""
    harness.deliver(_KIND.OPEN, return_address='nowhere')
    assert harness.agent.counters.malformed == 1
    assert len(harness.agent.table) == 0


def _mutate(rng, data):
    data = bytearray(data)
    for _ in range(rng.randrange(1, 4)):
        position = rng.randrange(len(data))
        change = rng.randrange(4)
        if change == 0:
            data[position] = rng.randrange(256)
        elif change == 1:
            del data[position:]
        elif change == 2:
            data[position:position] = rng.randbytes(rng.randrange(1, 9))
        else:
            del data[position]
        if not data:
            break
    return bytes(data)


@hypothesis.settings(derandomize=True, max_examples=25, deadline=None)
@hypothesis.given(
    strategies.integers(0, 1 << 32),
    strategies.lists(strategies.binary(max_size=60), max_size=20),
)
def test_any_datagrams_change_only_counters_and_bounded_state(seed, noise):
    """Guards against datagrams that raise or exhaust the memory."""
    rng = random.Random(seed)
    harness = _Harness()
    harness.simulation.clock.advance(1)
    for data in noise:
        harness.deliver_data(data)
    assert (
        harness.agent.counters.malformed + harness.agent.counters.hints_sent
        == len(noise)
    )
    for _ in range(200):
        packet = packet_module.Packet(
            rng.choice(list(_KIND)),
            rng.choice((1, 2, rng.getrandbits(64))),
            rng.choice((0, 5, rng.getrandbits(64))),
            rng.choice((0, 9, rng.getrandbits(64))),
            rng.choice((0, 9, rng.getrandbits(64))),
            rng.randbytes(rng.choice((0, 3, 2000))),
            '10.9.9.9:1',
            handoff_simulation.SERVICE_ADDRESS,
            handoff_simulation.RETURN_ADDRESS,
        )
        data = datagrams.encode_envelope(
            handoff_simulation.SERVICE,
            rng.choice((1, 7)),
            handoff_simulation.BALANCER_ADDRESS,
            rng.choice(([], ['b'], ['b', 'c', 'd'], [[1], 'a'])),
            packet_module.encode_packet(packet),
        )
        harness.deliver_data(data)
        harness.deliver_data(_mutate(rng, data))
    counters = harness.agent.counters
    assert counters.datagrams == len(noise) + 400
    assert len(harness.agent.table) <= counters.accepted
    # Each causes at most an answer and a hint, or one packet passed on.
    assert len(harness.sent) <= 2 * counters.datagrams
    harness.simulation.settle()
    for owned in harness.agent.table.connections():
        assert owned._task.exception is None
    harness.simulation.clock.advance(16_000, step_ms=4_000)
    harness.close()
    assert len(harness.agent.table) == 0


def test_repeated_open_is_accepted_where_it_was_passed_on(harness):
    """Guards against callers that wait for an unresponsive agent."""
    harness.agent.table.set_redirect(_ID, 'c', is_placement=True)
    harness.deliver(_KIND.OPEN, ('b',))
    assert harness.forwarded() == [('c', ['b', 'a'])]
    harness.deliver(_KIND.OPEN)
    assert harness.agent.table.get(_ID) is not None
