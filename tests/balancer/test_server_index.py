"""Tests which entries of the view a balancer uses."""

import flow_support
import pytest

from kingcupport.balancer import server_index
from kingcupport.flows import fleet_source
from kingcupport.flows import fleet_view

MAX_FLOW_MS = 60_000
LATER = {'boot_utc_ms': 9_000, 'revision': 40}


class IndexHarness:
    """A view and its index; each read replaces all entries."""

    def __init__(self):
        self.clock = flow_support.make_clock()
        self.view = fleet_view.make_fleet_view(self.clock)
        self.index = server_index.make_server_index(
            self.clock, self.view, MAX_FLOW_MS
        )
        self.revision = 100

    def read(self, *servers, configuration=None):
        self.revision += 10
        self.view.apply_update(
            fleet_source.FleetUpdate(
                self.revision,
                True,
                configuration=configuration
                or flow_support.make_configuration(),
                servers=list(servers),
            ),
            self.clock.monotonic_ms(),
        )


@pytest.fixture
def harness():
    return IndexHarness()


def test_entry_of_an_unknown_service_hides_no_server(harness):
    """Guards review/1: another writer's entry at a server's address."""
    server = flow_support.make_server(1)
    other = flow_support.make_server(1, 'printing', ip=server.ip, **LATER)
    harness.read(server, other)
    index = harness.index
    assert [s.name for s in index.by_service['gate']] == [server.name]
    assert index.by_ip[server.ip].name == server.name
    assert set(index.by_service) == {'gate'}


def test_entry_of_an_unknown_service_names_no_instance(harness):
    harness.read(
        flow_support.make_server(1), flow_support.make_server(2, 'printing')
    )
    assert harness.index.known_ips() == {'10.0.0.1'}


def test_entry_of_another_service_hides_no_server(harness):
    server = flow_support.make_server(1)
    other = flow_support.make_server(1, 'audio', ip=server.ip, **LATER)
    harness.read(server, other)
    assert [s.name for s in harness.index.by_service['gate']] == [server.name]


def test_service_of_a_later_configuration_is_used_at_once(harness):
    first = flow_support.make_configuration(
        1, addresses=((flow_support.GATE, 'gate'),)
    )
    audio = flow_support.make_server(2, 'audio')
    harness.read(flow_support.make_server(1), audio, configuration=first)
    assert 'audio' not in harness.index.by_service
    harness.view.apply_configuration(flow_support.make_configuration(2))
    assert [s.name for s in harness.index.by_service['audio']] == [audio.name]


def test_server_of_a_dropped_service_may_still_hold_flows(harness):
    harness.read(flow_support.make_server(1))
    harness.view.apply_configuration(
        flow_support.make_configuration(
            2, addresses=((flow_support.AUDIO, 'audio'),)
        )
    )
    assert not harness.index.by_service
    assert harness.index.known_ips() == {'10.0.0.1'}
