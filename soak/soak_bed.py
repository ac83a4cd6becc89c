"""The real programs with servers that check and a store behind a proxy."""

import platform_bed
import platform_standin
import soak_router
import soak_server
import store_proxy

BALANCERS = 3
SERVICES = ('gate', 'gate', 'audio', 'audio')
SERVICE_ADDRESSES = {
    'gate': platform_standin.SERVICE_ADDRESS,
    'audio': ('198.18.0.2', 443),
}


class SoakBed(platform_bed.Bed):
    """Starts balancers, agents and servers on addresses of one seed.

    Args:
        folder: pathlib.Path for settings and logs.
        network: First two numbers of all addresses.
        clock: Clock.
        rng: random.Random.
    """

    def __init__(self, folder, network, clock, rng):
        self.clock = clock
        # Servers by request id.
        self.runs = {}
        self.restarted = set()
        self.servers_down = set()
        # Servers that no new flow may reach, with the time from and until.
        self.drains = []
        self.version = 1
        store = platform_standin.Store()
        self.proxy = store_proxy.StoreProxy(store.address)
        self.router = soak_router.SoakRouter(self, rng)
        super().__init__(
            folder,
            network,
            BALANCERS,
            SERVICES,
            store,
            self.proxy.address,
        )
        self.put_next_configuration()
        self.is_first_start = 'false'

    def close(self):
        """Stop everything."""
        super().close()
        self.proxy.stop()

    def make_server(self, ip):
        """Return a server that notes its runs."""
        return soak_server.SoakServer(
            ip,
            self.ports,
            SERVICE_ADDRESSES[self.services[ip]],
            self.clock,
            self._on_run,
        )

    def put_next_configuration(self, with_spare=False):
        """Publish a configuration, with a route that nobody uses or not."""
        self.version += 1
        services = {a: name for name, a in SERVICE_ADDRESSES.items()}
        if with_spare:
            services['198.18.0.9', 443] = 'gate'
        self.store.put_routes(self.version, services)

    def balancer_ips(self):
        """Return the addresses of the balancers."""
        return [f'{self.network}.2.{n}' for n in range(1, BALANCERS + 1)]

    def server_with(self, client_end, first_sequence):
        """Return the server whose handshake a client has completed."""
        return next(
            (
                server
                for server in self.servers.values()
                if server.flows.get(client_end) == first_sequence
            ),
            None,
        )

    def start(self, ip):
        """Start the program of an instance again."""
        if ip in self.servers:
            self.start_agent(ip)
        else:
            self.start_balancer(int(ip.rpartition('.')[2]))

    def _on_run(self, server, request_id):
        self.runs.setdefault(request_id, []).append(server)
