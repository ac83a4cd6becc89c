"""Sends the packets of a flow to one of the balancers that are ready."""

import gevent
import xxhash

CHECK_MS = 200


class SoakRouter:
    """Chooses by hash, as the routers of the platform do.

    Args:
        bed: SoakBed.
        rng: random.Random.

    Attributes:
        loss_percent: Share of the clients' packets that are lost.
    """

    def __init__(self, bed, rng):
        self.loss_percent = 0
        self._bed = bed
        self._rng = rng
        self._ready = []

    def run(self):
        """Check the balancers' readiness until killed."""
        while True:
            checks = {
                ip: gevent.spawn(self._bed.is_ready, ip)
                for ip in self._bed.balancer_ips()
            }
            gevent.joinall(list(checks.values()))
            self._ready = [ip for ip, check in checks.items() if check.value]
            gevent.sleep(CHECK_MS / 1000)

    def choose(self, client_end):
        """Return the address of the balancer of a flow, None without one."""
        if not self._ready:
            return None
        ip = max(
            self._ready,
            key=lambda ip: xxhash.xxh3_64_intdigest(
                f'{ip} {client_end}'.encode()
            ),
        )
        return (ip, self._bed.ports['packets'])

    def loses_packet(self):
        """Return whether a packet of a client is lost."""
        return self._rng.randrange(100) < self.loss_percent
