"""Tests the searches for the server that holds a flow."""

import flow_support
import pytest

from kingcupport.flows import holder_search
from kingcupport.wire import flow_datagrams

FLOW = flow_support.make_flow(1)
DATA = flow_support.FORMAT.make(FLOW, acknowledged=5, data=b'x')
PACKET = flow_support.FORMAT.read_from_client(DATA)


@pytest.fixture
def clock():
    return flow_support.make_clock()


@pytest.fixture
def searches(clock):
    return holder_search.make_holder_searches(clock)


def status(holding):
    return flow_datagrams.FlowStatus(FLOW, int(holding))


def test_the_holder_ends_the_search(searches):
    searches.start(PACKET, DATA, {'a', 'b'}, is_complete=True)
    assert searches.on_status('a', status(flow_datagrams.Holding.NO)) is None
    found = searches.on_status('b', status(flow_datagrams.Holding.YES))
    assert found.packets == [(PACKET, DATA)]
    assert searches.get(FLOW) is None


def test_undetermined_agents_are_probed_one_by_one(searches):
    search = searches.start(PACKET, DATA, {'a', 'b'}, is_complete=True)
    unknown = status(flow_datagrams.Holding.UNKNOWN)
    assert searches.on_status('a', unknown) is None
    assert searches.on_status('b', unknown) is search
    first = searches.start_probe(search)
    assert searches.on_status(first, status(flow_datagrams.Holding.NO))
    second = searches.start_probe(search)
    assert {first, second} == {'a', 'b'}
    searches.on_status(second, status(flow_datagrams.Holding.NO))
    assert searches.start_probe(search) is None
    assert not search.probed


def test_a_search_without_answers_times_out(searches, clock):
    search = searches.start(PACKET, DATA, {'a'}, is_complete=True)
    assert searches.expired() == []
    clock.advance(holder_search.SEARCH_TIMEOUT_MS)
    assert searches.expired() == [search]


def test_packets_and_searches_are_bounded(searches):
    search = searches.start(PACKET, DATA, {'a'}, is_complete=True)
    for _ in range(100):
        searches.add_packet(search, PACKET, DATA)
    assert len(search.packets) == holder_search.MAX_PACKETS_PER_SEARCH
    for number in range(2, holder_search.MAX_SEARCHES + 10):
        data = flow_support.FORMAT.make(flow_support.make_flow(number))
        packet = flow_support.FORMAT.read_from_client(data)
        searches.start(packet, data, {'a'}, is_complete=True)
    assert len(searches) == holder_search.MAX_SEARCHES
    assert searches.refused_count > 0
