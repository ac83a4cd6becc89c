"""Guards the way of packets between balancers, agents and callers."""

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


class _Bed:
    """One agent whose datagrams are kept instead of sent."""

    def __init__(self):
        self.simulation = handoff_simulation.Simulation(_NAMES)
        self.agent = self.simulation.agents['a']
        self.sent = []
        self.agent.data_path._send = self._keep

    def _keep(self, data, destination):
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

    def passed_to(self):
        """Return the agents that packets were passed to, and ``tried``."""
        names = {a.as_tuple(): n for n, a in self.simulation.addresses.items()}
        return [
            (names[to], datagrams.decode_datagram(data).tried)
            for data, to in self.sent
            if to in names
        ]

    def answers(self):
        """Return the kinds of the packets sent to the fabric."""
        return [
            _KIND(packet_module.decode_packet(data).kind)
            for data, to in self.sent
            if to == ('10.0.2.1', 7000)
        ]

    def close(self):
        self.agent.kill()
        self.simulation.settle()


@pytest.fixture
def bed():
    made = _Bed()
    yield made
    made.close()


def test_packet_of_an_owned_connection_is_delivered_with_a_hint(bed):
    """Guards against an extra hop for each later packet."""
    bed.agent.factory.accept(
        packet_module.Packet(
            1, _ID, 0, 0, 0, b'', '', '10.0.0.1:80', '10.0.2.1:7000'
        )
    )
    owned = bed.agent.table.get(_ID)
    stream_id = owned.identity.stream_id
    bed.deliver(_KIND.ACK, stream_id=stream_id)
    assert bed.agent.counters.hints_sent == 0
    bed.deliver(_KIND.ACK, ('b',), stream_id=stream_id)
    hint = datagrams.decode_datagram(bed.sent[-1][0])
    assert hint == datagrams.LocationHint(_ID, 'a', 1)
    assert bed.sent[-1][1] == ('10.0.3.1', 7001)
    bed.simulation.settle()
    assert owned.confirmed


def test_other_stream_id_is_not_delivered(bed):
    """Guards against a half-open connection that takes another's bytes."""
    bed.agent.factory.accept(
        packet_module.Packet(
            1, _ID, 0, 0, 0, b'', '', '10.0.0.1:80', '10.0.2.1:7000'
        )
    )
    bed.deliver(_KIND.DATA, stream_id=5, payload=b'x')
    assert bed.passed_to()
    assert not bed.agent.table.get(_ID)._inbox


def test_unknown_connection_asks_previous_owner_then_candidates(bed):
    """Guards against resets of connections that another agent owns."""
    path = bed.agent.data_path
    bed.simulation.publish(('a', 'b', 'c'))
    for previous in ('d', 'b', 'c'):
        connection_id = next(
            i
            for i in range(1000)
            if path._previous_tables.table('gate').owner(i) == previous
        )
        bed.sent.clear()
        bed.deliver(_KIND.DATA, connection_id=connection_id)
        assert bed.passed_to() == [(previous, ['a'])]
    candidates = [n for n in path._candidates(connection_id) if n != 'a']
    bed.sent.clear()
    bed.deliver(_KIND.DATA, (previous,), connection_id=connection_id)
    (left,) = [n for n in candidates if n != previous]
    assert bed.passed_to() == [(left, [previous, 'a'])]


def test_withdrawn_agent_is_asked_before_a_reset(bed):
    """It owned no bucket of the connection, which had been placed there."""
    path = bed.agent.data_path
    previous = path._tables.table('gate')
    connection_id = next(
        i
        for i in range(1000)
        if previous.owner(i) != 'd'
        and 'd' in previous.candidates(i, data_path.MAX_ASKED_AGENTS)
    )
    bed.simulation.publish(('a', 'b', 'c'))
    bed.deliver(_KIND.DATA, ('b', 'c'), connection_id=connection_id)
    assert bed.passed_to() == [('d', ['b', 'c', 'a'])]
    assert bed.answers() == []
    bed.deliver(_KIND.DATA, ('b', 'c', 'd'), connection_id=connection_id)
    assert bed.answers() == [_KIND.RESET]


def test_connection_that_nobody_owns_is_reset_at_once(bed):
    """Guards against callers that wait for a connection that is lost."""
    bed.deliver(_KIND.DATA, ('b', 'c', 'd'))
    assert bed.answers() == [_KIND.RESET]
    assert bed.agent.counters.unknown_connection == 1
    bed.sent.clear()
    bed.deliver(_KIND.RESET, ('b', 'c', 'd'))
    assert bed.sent == []


def test_agents_that_did_not_answer_are_left_out(bed):
    """Guards against packets that go to dead agents again and again."""
    for name in ('b', 'c', 'd'):
        bed.agent.suspects.add(name)
    bed.deliver(_KIND.DATA)
    assert bed.answers() == [_KIND.RESET]


def test_redirect_goes_first_even_if_it_was_tried(bed):
    """Guards against a reset when a handoff overtakes a packet.

    The receiver passed the packet on just before it adopted the connection;
    the sender must send it back.
    """
    bed.agent.table.set_redirect(_ID, 'c')
    bed.deliver(_KIND.DATA)
    bed.deliver(_KIND.DATA, ('c',))
    bed.deliver(_KIND.OPEN, ('c',))
    assert bed.passed_to() == [('c', ['a']), *[('c', ['c', 'a'])] * 2]
    bed.sent.clear()
    bed.deliver(_KIND.DATA, ('c', 'b', 'd') * (data_path.MAX_HOPS // 3))
    assert bed.answers() == [_KIND.RESET]


def test_redirects_in_a_circle_end_in_a_reset():
    """Guards against packets that go round between agents for ever."""
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
    assert passed <= data_path.MAX_HOPS + len(_NAMES)


def test_draining_agent_passes_open_on(bed):
    """Guards against new connections at an agent that is leaving."""
    bed.agent.data_path.draining = True
    bed.deliver(_KIND.OPEN)
    assert len(bed.passed_to()) == 1
    assert len(bed.agent.table) == 0


@pytest.mark.parametrize('kind', [_KIND.OPEN, _KIND.DATA])
def test_other_service_is_refused(bed, kind):
    """Guards against packets that reach another service's server."""
    data = datagrams.encode_envelope(
        'audio', 1, handoff_simulation.BALANCER_ADDRESS, [], b''
    )
    bed.deliver_data(data)
    fleet = bed.simulation.fleet
    audio = service_module.Service(
        'audio', address.parse_address('10.0.0.2:80')
    )
    services = {**fleet.services, 'audio': audio}
    bed.agent.set_fleet(attrs.evolve(fleet, services=services))
    bed.deliver(kind, service_address='10.0.0.2:80')
    assert bed.agent.counters.wrong_service == 2
    assert bed.sent == []
    assert len(bed.agent.table) == 0


def test_packet_of_another_service_returns_to_its_agents(bed):
    """Guards against an agent that swallows the packets of a moved host."""
    fleet = bed.simulation.fleet
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
    bed.agent.set_fleet(
        attrs.evolve(
            fleet,
            services={**fleet.services, 'audio': audio},
            backend_servers={**fleet.backend_servers, 'audio-1': member},
        )
    )
    bed.deliver(_KIND.OPEN, service_address='10.0.0.2:80')
    ((data, destination),) = bed.sent
    assert destination == ('10.0.0.9', 7000)
    assert datagrams.decode_datagram(data).service == 'audio'
    assert datagrams.decode_datagram(data).tried == ['a']
    assert len(bed.agent.table) == 0


def test_bad_return_address_makes_no_connection(bed):
    """Guards against connections whose task fails on its first packet."""
    bed.deliver(_KIND.OPEN, return_address='nowhere')
    assert bed.agent.counters.malformed == 1
    assert len(bed.agent.table) == 0


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
    """Guards against datagrams that raise or fill the memory."""
    rng = random.Random(seed)
    bed = _Bed()
    bed.simulation.clock.advance(1)
    for data in noise:
        bed.deliver_data(data)
    assert bed.agent.counters.malformed + bed.agent.counters.hints_sent == len(
        noise
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
        bed.deliver_data(data)
        bed.deliver_data(_mutate(rng, data))
    counters = bed.agent.counters
    assert counters.datagrams == len(noise) + 400
    assert len(bed.agent.table) <= counters.accepted
    # No more than an answer and a hint, or one packet passed on, for each.
    assert len(bed.sent) <= 2 * counters.datagrams
    bed.simulation.settle()
    for owned in bed.agent.table.connections():
        assert owned._task.exception is None
    bed.simulation.clock.advance(16_000, step_ms=4_000)
    bed.close()
    assert len(bed.agent.table) == 0


def test_repeated_open_is_accepted_where_it_was_passed_on(bed):
    """Guards against callers that wait for an agent that is silent."""
    bed.agent.table.set_redirect(_ID, 'c', is_placement=True)
    bed.deliver(_KIND.OPEN, ('b',))
    assert bed.passed_to() == [('c', ['b', 'a'])]
    bed.deliver(_KIND.OPEN)
    assert bed.agent.table.get(_ID) is not None
