"""Bucket tables of all services of a fleet."""

from kingcupport.routing import bucket_table


class FleetTables:
    """Builds the table of a service when it is first requested.

    Args:
        fleet: The Fleet in force.
        previous: FleetTables of the previous fleet, or None. Its tables are
            reused for services whose hosts have not changed.
    """

    def __init__(self, fleet, previous=None):
        self.fleet = fleet
        self._tables = {}
        self._previous_tables = (
            dict(previous._all_tables()) if previous else {}
        )

    def _all_tables(self):
        return self._previous_tables | self._tables

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
        previous = self._previous_tables.pop(service_name, None)
        if previous is not None and previous.hosts == hosts:
            table = previous
        else:
            table = bucket_table.BucketTable(hosts, previous)
        self._tables[service_name] = table
        return table
