"""The servers of a view by address and by service."""


class ServerIndex:
    """Follows a view.

    Args:
        clock: Clock.
        view: FleetView.
        max_flow_ms: A flow older than this may be dropped.

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
        self._departed = {}
        view.on_change(self._on_view_change)

    def known_ips(self):
        """Return the addresses of all servers that may hold flows.

        Servers that have left the view may still serve the flows that they
        hold.
        """
        return set(self.by_ip) | set(self._departed)

    def drop_expired(self):
        """Forget the servers that left longer ago than a flow lasts."""
        now_ms = self._clock.monotonic_ms()
        self._departed = {
            ip: deadline_ms
            for ip, deadline_ms in self._departed.items()
            if deadline_ms > now_ms
        }

    def is_listed(self, entry):
        """Whether the view lists the server of a flow.

        Args:
            entry: FlowEntry.
        """
        return entry.server_name in self._view.servers

    def is_replaced(self, entry):
        """Whether the address of a flow's server belongs to another now.

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

    def _on_view_change(self, kind, _fields):
        if kind == 'configuration_accepted':
            return
        servers = sorted(self._view.servers.values(), key=_age_order)
        previous_ips = set(self.by_ip)
        self.by_ip = {server.ip: server for server in servers}
        self.by_service = {}
        for server in servers:
            if self.by_ip[server.ip] is server:
                self.by_service.setdefault(server.service, []).append(server)
        deadline_ms = self._clock.monotonic_ms() + self._max_flow_ms
        for ip in previous_ips - set(self.by_ip):
            self._departed[ip] = deadline_ms


def _age_order(server):
    # An address belongs to the server that started there last.
    return (server.boot_utc_ms, server.revision)


def make_server_index(clock, view, max_flow_ms):
    """Return an index that follows a view.

    Args:
        clock: Clock.
        view: FleetView.
        max_flow_ms: A flow older than this may be dropped.
    """
    return ServerIndex(clock, view, max_flow_ms)
