"""Chooses the balancer that receives the packets of a flow."""

import gevent
import xxhash

READINESS_INTERVAL_MS = 200


class SoakRouter:
    """Chooses among the ready balancers by hash, as platform routers do.

    Args:
        harness: SoakHarness.
        rng: random.Random.

    Attributes:
        loss_percent: Percentage of the clients' packets that is dropped.
    """

    def __init__(self, harness, rng):
        self.loss_percent = 0
        self._harness = harness
        self._rng = rng
        self._ready = []

    def run(self):
        """Poll the readiness of the balancers until killed."""
        while True:
            checks = {
                ip: gevent.spawn(self._harness.is_ready, ip)
                for ip in self._harness.balancer_ips()
            }
            gevent.joinall(list(checks.values()))
            self._ready = [ip for ip, check in checks.items() if check.value]
            gevent.sleep(READINESS_INTERVAL_MS / 1000)

    def choose_balancer(self, client_endpoint):
        """Return the balancer's address for a flow, None if none is ready."""
        if not self._ready:
            return None
        ip = max(
            self._ready,
            key=lambda ip: xxhash.xxh3_64_intdigest(
                f'{ip} {client_endpoint}'.encode()
            ),
        )
        return (ip, self._harness.ports['packets'])

    def drops_packet(self):
        """Return whether to drop a packet of a client."""
        return self._rng.randrange(100) < self.loss_percent
