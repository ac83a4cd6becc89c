"""Tests the comparison of an agent's settings with the fleet."""

import attrs
import pytest

from kingcupport.agent import fleet_entry
from kingcupport.agent import settings as agent_settings
from kingcupport.common import address
from kingcupport.fleet import backend_server
from kingcupport.fleet import fleet as fleet_module
from kingcupport.fleet import service

_AGENT = address.Address('127.0.0.1', 9000)
_SERVER = address.Address('127.0.0.1', 8000)
_ENTRY = backend_server.BackendServer(
    'gate-1', 'gate', _AGENT, _SERVER, 'dakar-plateau'
)
_SETTINGS = agent_settings.AgentSettings(
    name='gate-1',
    service='gate',
    data_centre='dakar-plateau',
    address=_AGENT,
    server_address=_SERVER,
    http_address=address.Address('127.0.0.1', 9001),
    configuration_address=address.Address('127.0.0.1', 9002),
)


def _make_fleet(entry):
    services = {
        name: service.Service(name, address.Address('127.0.0.1', port))
        for name, port in (('gate', 80), ('audio', 81))
    }
    return fleet_module.Fleet(1, 'd', services, {}, {entry.name: entry})


def test_matching_entry():
    assert fleet_entry.describe_mismatch(_make_fleet(_ENTRY), _SETTINGS) == ''


@pytest.mark.parametrize(
    ('changes', 'words'),
    [
        ({'name': 'gate-2'}, 'not in the fleet'),
        ({'service': 'audio'}, 'service'),
        ({'agent_address': address.Address('127.0.0.1', 9003)}, 'address'),
        (
            {'server_address': address.Address('127.0.0.1', 1)},
            'server_address',
        ),
        ({'slots': 2}, 'slots'),
    ],
)
def test_difference_is_named(changes, words):
    entry = attrs.evolve(_ENTRY, **changes)
    assert words in fleet_entry.describe_mismatch(
        _make_fleet(entry), _SETTINGS
    )


@pytest.mark.parametrize(
    ('changes', 'moved'),
    [
        ({}, False),
        ({'weight': 7}, False),
        ({'slots': 2}, False),
        ({'name': 'gate-2'}, True),
        ({'service': 'audio'}, True),
        ({'agent_address': address.Address('127.0.0.1', 9003)}, True),
    ],
)
def test_only_removal_from_the_service_is_detected(changes, moved):
    """Guards against broken connections when a host changes its service.

    The agent of such a host did not drain, and balancers sent the packets of
    its connections to other agents.
    """
    entry = attrs.evolve(_ENTRY, **changes)
    assert fleet_entry.has_left_service(_make_fleet(entry), _SETTINGS) is moved
