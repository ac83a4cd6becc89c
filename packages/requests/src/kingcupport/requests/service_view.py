"""The part of the fleet that an agent's scheduler uses."""

import functools

import attrs
import xxhash

from kingcupport.fleet import service as service_module


@attrs.frozen(slots=False)
class ServiceView:
    """The hosts of one service at one revision.

    Args:
        service: Name of the service.
        revision: Revision in force.
        hosts: Names of the service's backend servers.
        total_slots: Total number of slots of these servers.
        long_work_percent: Percentage of the slots that may run long requests
            at once.
    """

    service: str
    revision: int
    hosts: tuple
    total_slots: int
    long_work_percent: int

    @property
    def permits_count(self):
        """Number of long requests that may run at once; at least 1."""
        limit = self.total_slots * self.long_work_percent / 100
        return max(1, round(limit))

    @functools.cached_property
    def ranked_hosts(self):
        """Hosts in descending order of their rendezvous score."""
        return tuple(
            sorted(
                self.hosts,
                key=lambda host: xxhash.xxh64_intdigest(
                    f'{self.service}/{host}'.encode()
                ),
                reverse=True,
            )
        )


def make_service_view(fleet, service_name):
    """Return the ServiceView of a service.

    Args:
        fleet: The Fleet in force.
        service_name: Name of the service. The view of a withdrawn service
            has no hosts.
    """
    members = fleet.backend_servers_of(service_name)
    service = fleet.services.get(service_name)
    percent = service_module.DEFAULT_LONG_WORK_PERCENT
    return ServiceView(
        service=service_name,
        revision=fleet.revision,
        hosts=tuple(member.name for member in members),
        total_slots=sum(member.slots for member in members),
        long_work_percent=service.long_work_percent if service else percent,
    )


def make_view_reader(read_fleet, service_name):
    """Return a callable that caches the ServiceView of the latest fleet.

    Args:
        read_fleet: Callable that returns the Fleet in force.
        service_name: Name of the service.
    """
    cached = (None, None)

    def read_view():
        nonlocal cached
        fleet = read_fleet()
        if cached[0] is not fleet:
            cached = (fleet, make_service_view(fleet, service_name))
        return cached[1]

    return read_view
