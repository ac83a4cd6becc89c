"""A fleet of the design's size, on loopback addresses."""

from kingcupport.common import address as address_module
from kingcupport.fleet import backend_server
from kingcupport.fleet import balancer
from kingcupport.fleet import documents
from kingcupport.fleet import fleet as fleet_module
from kingcupport.fleet import release_note
from kingcupport.fleet import service

SERVICES = 520
BALANCERS = 640
HOSTS = 5_600


def fleet_address(group, number, port):
    """Return an address in 127.0.0.0/8 that is unique in its group."""
    high, low = divmod(number, 250)
    return address_module.Address(f'127.{group}.{high}.{low + 1}', port)


def make_fleet(port, own_port):
    """Return a fleet of the design's size, on loopback addresses.

    Args:
        port: Port of all balancers and agents but the first of each.
        own_port: Port of the first balancer and the first agent.
    """
    services = {
        f'service-{i:03}': service.Service(
            f'service-{i:03}', fleet_address(3, i, 80)
        )
        for i in range(SERVICES)
    }
    balancers = {
        f'balancer-{i:03}': balancer.Balancer(
            f'balancer-{i:03}',
            fleet_address(1, i, port if i else own_port),
            f'data-centre-{i % 6}',
        )
        for i in range(BALANCERS)
    }
    return fleet_module.Fleet(
        1, 'd' * 32, services, balancers, _make_hosts(port, own_port)
    )


def _make_hosts(port, own_port):
    return {
        f'host-{i:04}': make_host(i, port if i else own_port, i % SERVICES)
        for i in range(HOSTS)
    }


def make_host(number, port, service_number):
    """Return the backend server of a number."""
    return backend_server.BackendServer(
        f'host-{number:04}',
        f'service-{service_number:03}',
        fleet_address(2, number, port),
        fleet_address(4, number, 8000),
        f'data-centre-{number % 6}',
        added_revision=1,
    )


def make_note(fleet, number, port):
    """Return a note that adds one host to the first service."""
    empty = dict.fromkeys(documents.ENTRY_CLASSES, ())
    host = make_host(number, port, 0)
    return release_note.ReleaseNote(
        fleet.revision + 1,
        fleet.revision,
        fleet.digest,
        empty | {'backend_servers': (host,)},
        empty,
        empty,
    )
