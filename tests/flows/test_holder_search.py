"""Tests the searches for the server that holds a flow."""

import flow_support
import pytest

from kingcupport.flows import holder_search

FLOW = flow_support.make_flow(1)


def make_packet(number=1, acknowledged=5):
    data = flow_support.FORMAT.make(
        flow_support.make_flow(number), acknowledged=acknowledged, data=b'x'
    )
    return flow_support.FORMAT.read_from_client(data), data


@pytest.fixture
def clock():
    return flow_support.make_clock()


@pytest.fixture
def searches(clock):
    return holder_search.make_holder_searches(clock)


def start(searches, ips=('a', 'b'), **fields):
    search = searches.add_packet(*make_packet(**fields))
    assert searches.start(search, ips, 'c')
    return search


def test_a_search_without_a_result_times_out(searches, clock):
    search = start(searches)
    assert len(searches) == 1
    assert searches.overdue() == []
    clock.advance(holder_search.SEARCH_TIMEOUT_MS)
    assert searches.overdue() == [search]
    searches.stop(search)
    assert searches.overdue() == []
    assert len(searches) == 0


def test_results_are_remembered_for_the_packets_of_the_flow(searches, clock):
    search = start(searches)
    search.ruled_out |= {'a'}
    searches.stop(search)
    clock.advance(holder_search.RETENTION_MS - 1)
    searches.drop_expired()
    assert searches.add_packet(*make_packet()).ruled_out == {'a'}
    clock.advance(holder_search.RETENTION_MS)
    searches.drop_expired()
    assert searches.get(FLOW) is None


def test_each_round_has_a_number_of_its_own(searches):
    search = start(searches)
    first = search.number
    searches.stop(search)
    assert searches.start(search, {'b'}, 'c')
    assert search.number != first


def test_a_later_flow_with_the_same_ports_begins_anew(searches):
    search = start(searches)
    later = searches.add_packet(*make_packet(acknowledged=1 << 31))
    assert later is not search
    assert not later.is_running
    assert len(searches) == 0


def test_packets_and_searches_are_bounded(searches):
    search = start(searches)
    for _ in range(100):
        searches.add_packet(*make_packet())
    assert len(search.packets) == holder_search.MAX_PACKETS_PER_SEARCH
    for number in range(2, holder_search.MAX_RUNNING_SEARCHES + 10):
        later = searches.add_packet(*make_packet(number))
        searches.start(later, {'a'}, 'c')
    assert len(searches) == holder_search.MAX_RUNNING_SEARCHES
    assert searches.refused_count > 0
    assert not later.packets
    for number in range(holder_search.MAX_SEARCHES + 1):
        searches.add_packet(*make_packet(10_000 + number))
    assert searches.get(FLOW) is None
    assert len(searches) == 0


def test_searches_of_a_former_process_have_other_numbers():
    """A late result of an earlier search rules out no server."""
    numbers = []
    for _ in range(2):
        searches = holder_search.make_holder_searches(
            flow_support.make_clock()
        )
        packet = flow_support.FORMAT.read_from_client(
            flow_support.FORMAT.make(
                flow_support.make_flow(1), acknowledged=5, data=b'x'
            )
        )
        search = searches.add_packet(packet, b'x')
        assert searches.start(search, ['10.0.0.1'], '10.0.0.1')
        numbers.append(search.number)
    assert numbers[0] != numbers[1]
