"""Tests that no packets are forwarded to an agent that has ended."""

import pytest

from kingcupport.agent import data_path as data_path_module
from kingcupport.agent import data_path_counters
from kingcupport.common import address
from kingcupport.common import clock as clock_module
from kingcupport.connections import connection_table
from kingcupport.fleet import fleet as fleet_module
from kingcupport.fleet import release_note
from kingcupport.routing import suspects as suspects_module
from kingcupport.wire import datagrams
from kingcupport.wire import packet as packet_module
from kingcupport.wire import packet_format

_SERVICE_ADDRESS = '127.0.0.1:8000'
_KIND = packet_module.PacketKind


def _agent_address(number):
    return address.Address('127.0.0.1', 8100 + number)


def _apply(fleet, **sections):
    note = release_note.note_from_dict(
        {
            'revision': fleet.revision + 1,
            'base': fleet.revision,
            'base_digest': fleet.digest,
            **sections,
        }
    )
    return release_note.apply_release_note(fleet, note)


def _server(number):
    return {
        'name': f'audio-{number}',
        'service': 'audio',
        'agent_address': str(_agent_address(number)),
        'server_address': f'127.0.0.1:{8200 + number}',
        'data_centre': 'thies',
    }


def _make_four_agents():
    servers = [_server(number) for number in range(4)]
    services = [
        {'name': 'audio', 'address': _SERVICE_ADDRESS},
        {'name': 'ticketing', 'address': '127.0.0.1:8001'},
    ]
    added = {'services': services, 'backend_servers': servers}
    return _apply(fleet_module.Fleet(), added=added)


@pytest.fixture
def sent():
    return []


@pytest.fixture(params=['withdrawn', 'moved'])
def data_path(sent, request):
    """The data path of audio-0 after audio-3 has left the service."""
    clock = clock_module.make_system_clock()
    fleet = _make_four_agents()
    data_path = data_path_module.DataPath(
        name='audio-0',
        service='audio',
        fleet=fleet,
        packet_format=packet_format.make_packet_format(),
        send=lambda data, destination: sent.append((data, destination)),
        table=connection_table.ConnectionTable(clock, 10),
        placement=None,
        accept=None,
        suspects=suspects_module.Suspects(clock, 60_000),
        on_datagram=None,
        on_revision=lambda revision, address: None,
        counters=data_path_counters.DataPathCounters(),
    )
    data_path.started = True
    if request.param == 'withdrawn':
        sections = {'withdrawn': {'backend_servers': ['audio-3']}}
    else:
        entry = {**_server(3), 'service': 'ticketing'}
        sections = {'changed': {'backend_servers': [entry]}}
    data_path.set_fleet(_apply(fleet, **sections))
    return data_path


def _deliver(data_path, connection_id, tried=()):
    packet = packet_module.Packet(
        int(_KIND.DATA),
        connection_id,
        1,
        0,
        0,
        b'x',
        '127.0.0.1:1',
        _SERVICE_ADDRESS,
        '127.0.0.1:2',
    )
    envelope = datagrams.encode_envelope(
        'audio',
        data_path.fleet.revision,
        '127.0.0.1:3',
        list(tried),
        packet_module.encode_packet(packet),
    )
    data_path.on_data(envelope, ('127.0.0.1', 3))


def _connection_of_former_agent(data_path):
    table = data_path._previous_tables.table('audio')
    return next(n for n in range(1000) if table.owner(n) == 'audio-3')


def test_draining_agent_is_asked_for_its_connections(data_path, sent):
    _deliver(data_path, _connection_of_former_agent(data_path))
    assert [to for _, to in sent] == [_agent_address(3).as_tuple()]


def test_ended_agent_is_not_asked_again(data_path, sent):
    # The packet was lost on each retransmission when it was forwarded there.
    connection_id = _connection_of_former_agent(data_path)
    data_path.on_unreachable(_agent_address(3).as_tuple())
    _deliver(data_path, connection_id)
    ((_, destination),) = sent
    others = [_agent_address(n).as_tuple() for n in (1, 2)]
    assert destination in others


def test_unreachable_member_is_avoided_for_a_while(data_path, sent):
    data_path.on_unreachable(_agent_address(1).as_tuple())
    _deliver(data_path, _connection_of_former_agent(data_path), ['audio-3'])
    ((_, destination),) = sent
    assert destination == _agent_address(2).as_tuple()


def test_unknown_connection_is_reset_when_all_have_been_asked(data_path, sent):
    tried = ['audio-1', 'audio-2', 'audio-3']
    _deliver(data_path, 5, tried)
    ((data, destination),) = sent
    assert destination == ('127.0.0.1', 2)
    assert packet_module.decode_packet(data).kind == _KIND.RESET
