"""Bucket tables of all services of a fleet."""

from kingcupport.routing import bucket_table


class FleetTables:
    """Builds each service's table when it is first asked for.

    Args:
        fleet: The Fleet in force.
        previous: FleetTables of the fleet before, or None. Its tables are
            reused for services whose hosts are the same.
    """

    def __init__(self, fleet, previous=None):
        self.fleet = fleet
        self._tables = {}
        self._inherited = dict(previous._known()) if previous else {}

    def _known(self):
        return self._inherited | self._tables

    def table(self, service_name):
        """Return a service's BucketTable, or None if it has no hosts."""
        table = self._tables.get(service_name)
        if table is None:
            table = self._build(service_name)
        return table

    def _build(self, service_name):
        members = self.fleet.backend_servers_of(service_name)
        if not members:
            return None
        hosts = tuple(
            bucket_table.Host(member.name, member.weight) for member in members
        )
        previous = self._inherited.pop(service_name, None)
        if previous is not None and previous.hosts == hosts:
            table = previous
        else:
            table = bucket_table.BucketTable(hosts, previous)
        self._tables[service_name] = table
        return table
