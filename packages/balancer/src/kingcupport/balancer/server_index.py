"""Index of the servers of a view by address and by service."""


class ServerIndex:
    """Servers by address and by service, updated on each change of the view.

    The entries of services that the configuration in force does not name are
    left out: they may come from another writer.

    Args:
        clock: Clock.
        view: FleetView.
        max_flow_ms: Age at which a flow may be dropped.

    Attributes:
        by_ip: FlowServer by the address of its instance.
        by_service: Lists of FlowServer by the name of the service.
    """

    def __init__(self, clock, view, max_flow_ms):
        self._clock = clock
        self._view = view
        self._max_flow_ms = max_flow_ms
        self.by_ip = {}
        self.by_service = {}
        self._listed_names = frozenset()
        self._removed_ms = {}
        self._known_ips = frozenset()
        view.on_change(self._on_view_change)

    def known_ips(self):
        """Return the addresses of all servers that may hold flows.

        These include servers that were removed from the view less than the
        maximum age of a flow ago, because they may still serve their flows.

        Returns:
            A frozenset, the same one until a server is added or removed.
        """
        return self._known_ips

    def removed_before(self, time_ms):
        """Return the addresses without a listed server since a time.

        Args:
            time_ms: Time on the monotonic clock.
        """
        return {
            ip
            for ip, removed_ms in self._removed_ms.items()
            if removed_ms <= time_ms and ip not in self.by_ip
        }

    def drop_expired(self):
        """Forget removed servers whose flows have reached the maximum age."""
        oldest_ms = self._clock.monotonic_ms() - self._max_flow_ms
        self._removed_ms = {
            ip: removed_ms
            for ip, removed_ms in self._removed_ms.items()
            if removed_ms > oldest_ms
        }
        self._update_known_ips()

    def is_listed(self, entry):
        """Whether the server of a flow is in the index.

        Args:
            entry: FlowEntry.
        """
        return entry.server_name in self._listed_names

    def is_replaced(self, entry):
        """Whether another server now uses the address of a flow's server.

        Args:
            entry: FlowEntry.
        """
        current = self.by_ip.get(entry.ip)
        return (
            current is not None
            and (current.name, current.boot_utc_ms)
            != (entry.server_name, entry.boot_utc_ms)
            and not self.is_listed(entry)
        )

    def _on_view_change(self, _kind, _fields):
        services = self._view.configuration.service_names
        servers = sorted(
            (s for s in self._view.servers.values() if s.service in services),
            key=_start_order,
        )
        previous_ips = set(self.by_ip)
        self._listed_names = frozenset(server.name for server in servers)
        self.by_ip = {server.ip: server for server in servers}
        # An entry of one service does not hide that of another at the same
        # address; the agent there accepts flows of its own service only.
        latest = {(server.ip, server.service): server for server in servers}
        self.by_service = {}
        for server in latest.values():
            self.by_service.setdefault(server.service, []).append(server)
        now_ms = self._clock.monotonic_ms()
        for ip in previous_ips - set(self.by_ip):
            self._removed_ms[ip] = now_ms
        self._update_known_ips()

    def _update_known_ips(self):
        known_ips = self.by_ip.keys() | self._removed_ms.keys()
        if known_ips != self._known_ips:
            self._known_ips = frozenset(known_ips)


def _start_order(server):
    # An address belongs to the server that started last on it.
    return (server.boot_utc_ms, server.revision)


def make_server_index(clock, view, max_flow_ms):
    """Return an index that is updated on each change of a view.

    Args:
        clock: Clock.
        view: FleetView.
        max_flow_ms: Age at which a flow may be dropped.
    """
    return ServerIndex(clock, view, max_flow_ms)
