"""What an agent's scheduler knows of its service from the fleet."""

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
        total_slots: Sum of their slots.
        long_work_percent: Share of the slots that may hold long work.
    """

    service: str
    revision: int
    hosts: tuple
    total_slots: int
    long_work_percent: int

    @property
    def permits(self):
        """Number of long requests that may run at once, at least 1."""
        share = self.total_slots * self.long_work_percent / 100
        return max(1, round(share))

    @functools.cached_property
    def ranked_hosts(self):
        """Hosts by descending rendezvous score for the service."""
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
        service_name: Name of the service; one that has been withdrawn has
            no hosts.
    """
    members = fleet.backend_servers_of(service_name)
    found = fleet.services.get(service_name)
    percent = service_module.DEFAULT_LONG_WORK_PERCENT
    return ServiceView(
        service=service_name,
        revision=fleet.revision,
        hosts=tuple(member.name for member in members),
        total_slots=sum(member.slots for member in members),
        long_work_percent=found.long_work_percent if found else percent,
    )


def make_view_reader(read_fleet, service_name):
    """Return a callable that makes a ServiceView once for each fleet.

    Args:
        read_fleet: Callable that returns the Fleet in force.
        service_name: Name of the service.
    """
    kept = (None, None)

    def read_view():
        nonlocal kept
        fleet = read_fleet()
        if kept[0] is not fleet:
            kept = (fleet, make_service_view(fleet, service_name))
        return kept[1]

    return read_view
