"""A fleet of design size on loopback addresses."""

from kingcupport.common import address as address_module
from kingcupport.fleet import backend_server
from kingcupport.fleet import balancer
from kingcupport.fleet import documents
from kingcupport.fleet import fleet as fleet_module
from kingcupport.fleet import release_note
from kingcupport.fleet import service

SERVICE_COUNT = 520
BALANCER_COUNT = 640
HOST_COUNT = 5_600


def fleet_address(group, number, port):
    """Return an address in 127.0.0.0/8 that is unique within its group."""
    high, low = divmod(number, 250)
    return address_module.Address(f'127.{group}.{high}.{low + 1}', port)


def make_fleet(port, own_port):
    """Return a fleet of design size on loopback addresses.

    Args:
        port: Port of all balancers and agents except the first of each.
        own_port: Port of the first balancer and the first agent.
    """
    services = {
        f'service-{i:03}': service.Service(
            f'service-{i:03}', fleet_address(3, i, 80)
        )
        for i in range(SERVICE_COUNT)
    }
    balancers = {
        f'balancer-{i:03}': balancer.Balancer(
            f'balancer-{i:03}',
            fleet_address(1, i, port if i else own_port),
            f'data-centre-{i % 6}',
        )
        for i in range(BALANCER_COUNT)
    }
    return fleet_module.Fleet(
        1, 'd' * 32, services, balancers, _make_hosts(port, own_port)
    )


def _make_hosts(port, own_port):
    return {
        f'host-{i:04}': make_host(
            i, port if i else own_port, i % SERVICE_COUNT
        )
        for i in range(HOST_COUNT)
    }


def make_host(number, port, service_number):
    """Return the backend server with a given number."""
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
    no_entries = dict.fromkeys(documents.ENTRY_CLASSES, ())
    host = make_host(number, port, 0)
    return release_note.ReleaseNote(
        fleet.revision + 1,
        fleet.revision,
        fleet.digest,
        no_entries | {'backend_servers': (host,)},
        no_entries,
        no_entries,
    )
