"""The real programs with checking servers and a store behind a proxy."""

import platform_harness
import platform_standin
import soak_router
import soak_server
import store_proxy

BALANCER_COUNT = 3
SERVER_SERVICES = ('gate', 'gate', 'audio', 'audio')
SERVICE_ADDRESSES = {
    'gate': platform_standin.SERVICE_ADDRESS,
    'audio': ('198.18.0.2', 443),
}


class SoakHarness(platform_harness.PlatformHarness):
    """Starts balancers, agents and servers on the addresses of one seed.

    Args:
        folder: pathlib.Path for settings and logs.
        network: First two octets of all addresses.
        clock: Clock.
        rng: random.Random.
    """

    def __init__(self, folder, network, clock, rng):
        self.clock = clock
        # Servers that ran a request, by request id.
        self.servers_by_request_id = {}
        self.restarting_ips = set()
        self.stopped_server_ips = set()
        # Drained servers with the start and end, in ms, of the interval in
        # which no new flow may reach them.
        self.drain_intervals = []
        self.configuration_version = 1
        store = platform_standin.Store()
        self.proxy = store_proxy.StoreProxy(store.address)
        self.router = soak_router.SoakRouter(self, rng)
        super().__init__(
            folder,
            network,
            BALANCER_COUNT,
            SERVER_SERVICES,
            store,
            self.proxy.address,
        )
        self.publish_next_configuration()
        self.is_first_start = 'false'

    def close(self):
        """Stop everything."""
        super().close()
        self.proxy.stop()

    def make_server(self, ip):
        """Return a server that reports each request it runs."""
        return soak_server.SoakServer(
            ip,
            self.ports,
            SERVICE_ADDRESSES[self.services[ip]],
            self.clock,
            self._on_run,
        )

    def publish_next_configuration(self, with_unused_route=False):
        """Publish the next configuration, optionally with an unused route."""
        self.configuration_version += 1
        services = {a: name for name, a in SERVICE_ADDRESSES.items()}
        if with_unused_route:
            services['198.18.0.9', 443] = 'gate'
        self.store.put_routes(self.configuration_version, services)

    def balancer_ips(self):
        """Return the addresses of the balancers."""
        return [f'{self.network}.2.{n}' for n in range(1, BALANCER_COUNT + 1)]

    def find_server(self, client_endpoint, first_sequence):
        """Return the server with which a client completed its handshake."""
        return next(
            (
                server
                for server in self.servers.values()
                if server.flows.get(client_endpoint) == first_sequence
            ),
            None,
        )

    def start(self, ip):
        """Restart the program of an instance."""
        if ip in self.servers:
            self.start_agent(ip)
        else:
            self.start_balancer(int(ip.rpartition('.')[2]))

    def _on_run(self, server, request_id):
        self.servers_by_request_id.setdefault(request_id, []).append(server)
