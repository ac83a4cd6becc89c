"""Tests the decisions of the receiver of handoffs."""

import types

import attrs
import handoff_simulation
import manual_clock
import pytest

from kingcupport.connections import connection_identity
from kingcupport.connections import connection_state
from kingcupport.connections import handoff_codec
from kingcupport.connections import handoff_receiver
from kingcupport.connections import output_stream
from kingcupport.wire import errors
from kingcupport.wire import handoff_messages
from kingcupport.wire import packet as packet_module

_STATE = connection_state.ConnectionState(
    identity=connection_identity.ConnectionIdentity(
        1,
        2,
        '10.0.0.9:1',
        handoff_simulation.SERVICE_ADDRESS,
        handoff_simulation.RETURN_ADDRESS,
    ),
    input_offset=5,
    input_ended=False,
    unparsed=b'GET',
    output=output_stream.OutputState(7, b'abc', False),
    pending=(),
    closing=False,
    last_output=b'',
    confirmed=True,
)


class _Harness:
    def __init__(self):
        self.adopted = []
        self.reason = ''
        self.clock = manual_clock.ManualClock()
        simulation = handoff_simulation.Simulation(('a', 'b'))
        self.registry = types.SimpleNamespace(fleet=simulation.fleet)
        self.receiver = handoff_receiver.HandoffReceiver(
            'b', self.registry, self.clock, self._adopt, lambda: self.reason
        )

    def _adopt(self, state, sender):
        self.adopted.append(state)
        return ''

    def offer(self, handoff_id='h1', **changes):
        message = handoff_codec.message_from_state(
            _STATE, 'a', 1, handoff_id, 0
        )
        message = attrs.evolve(message, **changes)
        return type(self.receiver.on_handoff(message, 'a'))

    def abort(self, handoff_id='h1'):
        message = handoff_messages.HandoffAbort('a', 1, handoff_id)
        return type(self.receiver.on_abort(message, 'a'))


_ADOPTED = handoff_messages.HandoffAdopted
_ABORTED = handoff_messages.HandoffAborted


def test_repeated_offer_is_adopted_once():
    """Guards against two connections from one handoff."""
    harness = _Harness()
    assert [harness.offer(), harness.offer(), harness.abort()] == [
        _ADOPTED
    ] * 3
    assert harness.adopted == [_STATE]


def test_offer_after_the_abort_is_refused():
    """Guards against a delayed offer that creates a second owner."""
    harness = _Harness()
    assert [harness.abort(), harness.offer()] == [_ABORTED] * 2
    assert harness.adopted == []


def test_refusal_is_permanent():
    """Guards against a refused handoff that is adopted later."""
    harness = _Harness()
    harness.reason = 'draining'
    assert harness.offer() is _ABORTED
    harness.reason = ''
    assert harness.offer() is _ABORTED
    assert harness.offer('h2') is _ADOPTED


def test_connection_of_another_service_is_refused():
    """Guards against requests that reach another service's server."""
    harness = _Harness()
    fleet = harness.registry.fleet
    member = attrs.evolve(fleet.backend_servers['b'], service='audio')
    members = {**fleet.backend_servers, 'b': member}
    harness.registry.fleet = attrs.evolve(fleet, backend_servers=members)
    assert harness.offer() is _ABORTED
    assert harness.adopted == []


@pytest.mark.parametrize(
    'changes',
    [
        {'identity': [1, 2]},
        {'identity': ['1', 2, '', '', '']},
        {'pending': [['r']]},
        {'pending': [['r', 'GET', '/', [[1 << 40, b'']], b'', '', 1, '1.1']]},
        {'pending': [['r', 'GET', '/', [[9, b'']], b'', '', 1, '1.1', True]]},
    ],
)
def test_malformed_state_is_not_adopted(changes):
    """Guards against a connection from an invalid message."""
    harness = _Harness()
    with pytest.raises(errors.WireError):
        harness.offer(**changes)
    assert harness.adopted == []


def test_decisions_are_forgotten_and_bounded(monkeypatch):
    """Guards against memory use that grows with each handoff."""
    harness = _Harness()
    monkeypatch.setattr(handoff_receiver, 'MAX_DECISIONS', 10)
    for number in range(30):
        harness.abort(f'h{number}')
    assert len(harness.receiver._decisions) == 10
    harness.clock.advance(handoff_receiver.DECISION_RETENTION_MS)
    harness.abort('last')
    assert list(harness.receiver._decisions) == ['last']


@pytest.mark.parametrize('is_confirmed', [True, False])
def test_connection_in_use_is_not_replaced(is_confirmed):
    """Guards against replacing a connection that the caller uses.

    A retransmitted OPEN can create a second, half-open connection on another
    agent, which may then be handed over.
    """
    simulation = handoff_simulation.Simulation(('a', 'b'))
    identity = attrs.astuple(_STATE.identity)
    agent = simulation.agents['b']
    agent.factory.accept(
        packet_module.Packet(1, 1, 0, 0, 0, b'', *identity[2:])
    )
    existing = agent.table.get(1)
    existing.confirmed = is_confirmed
    half_open = attrs.evolve(_STATE, confirmed=False)
    assert agent.factory.adopt(half_open, 'a')
    assert agent.table.get(1) is existing
    assert bool(agent.factory.adopt(_STATE, 'a')) == is_confirmed
    assert (agent.table.get(1) is existing) == is_confirmed
    agent.kill()
    simulation.settle()
