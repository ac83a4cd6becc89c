"""Guards against agents that rank the owners of permits differently."""

import pytest

from kingcupport.common import address
from kingcupport.fleet import backend_server
from kingcupport.fleet import fleet
from kingcupport.fleet import service
from kingcupport.requests import service_view


def _make_fleet(hosts, slots):
    server_address = address.Address('127.0.0.1', 1)
    servers = [
        backend_server.BackendServer(
            f'h{n}', 'gate', server_address, server_address, 'dakar', slots
        )
        for n in hosts
    ]
    return fleet.Fleet(
        revision=3,
        services={'gate': service.Service('gate', server_address)},
        backend_servers={s.name: s for s in servers},
    )


@pytest.mark.parametrize(
    ('slots', 'hosts', 'permits'), [(1, 7, 3), (2, 7, 6), (1, 1, 1)]
)
def test_permits_are_a_percentage_of_the_slots(slots, hosts, permits):
    view = service_view.make_service_view(
        _make_fleet(range(hosts), slots), 'gate'
    )
    assert view.permits_count == permits
    assert view.revision == 3


def test_ranking_of_remaining_hosts_is_stable():
    before = service_view.make_service_view(_make_fleet(range(7), 1), 'gate')
    after = service_view.make_service_view(_make_fleet(range(6), 1), 'gate')
    remaining = [name for name in before.ranked_hosts if name != 'h6']
    assert list(after.ranked_hosts) == remaining


def test_reader_follows_the_fleet_and_a_withdrawn_service():
    fleets = [
        _make_fleet(range(7), 1),
        _make_fleet(range(6), 1),
        fleet.Fleet(9),
    ]
    read_view = service_view.make_view_reader(lambda: fleets[0], 'gate')
    assert read_view() is read_view()
    host_counts = []
    while fleets:
        host_counts.append(len(read_view().hosts))
        last_view = read_view()
        fleets.pop(0)
    assert host_counts == [7, 6, 0]
    assert last_view.revision == 9
    assert last_view.ranked_hosts == ()
