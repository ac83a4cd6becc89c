"""Faults that are injected from outside the programs."""

import abc
import signal

import gevent
import store_proxy

# Time after which a draining server receives no new flow.
DRAIN_PROPAGATION_MS = 3_000


class Fault(abc.ABC):
    """One kind of fault.

    Args:
        harness: SoakHarness.
        rng: random.Random.

    Attributes:
        delays_changes: Whether changes may come into force late while the
            fault lasts.
    """

    delays_changes = False

    def __init__(self, harness, rng):
        self.harness = harness
        self.rng = rng

    @abc.abstractmethod
    def inject(self, duration_ms):
        """Cause the fault, wait and end it; blocks for the duration."""


class PausedProcess(Fault):
    """A process is paused (SIGSTOP) and resumed later."""

    delays_changes = True

    def inject(self, duration_ms):
        """Implement ``Fault.inject``."""
        process = self.harness.processes[
            self.rng.choice(list(self.harness.processes))
        ]
        if process.wait(0) is not None:
            return
        process.signal(signal.SIGSTOP)
        gevent.sleep(duration_ms / 1000)
        process.signal(signal.SIGCONT)


class EndedProcess(Fault):
    """A process is killed or terminated, and restarted later."""

    delays_changes = True

    # Time, in ms, that the platform gives a process to end after SIGTERM.
    GRACE_PERIOD_MS = 6_000

    def inject(self, duration_ms):
        """Implement ``Fault.inject``."""
        ip = self.rng.choice(list(self.harness.processes))
        process = self.harness.processes[ip]
        if ip in self.harness.restarting_ips or process.wait(0) is not None:
            return
        self.harness.restarting_ips.add(ip)
        number = self.rng.choice((signal.SIGKILL, signal.SIGTERM))
        process.signal(number)
        process.signal(signal.SIGCONT)
        if number == signal.SIGTERM:
            code = process.wait(self.GRACE_PERIOD_MS / 1000)
            assert code == 0, f'{ip} ended with {code} after SIGTERM'
        gevent.sleep(duration_ms / 1000)
        process.stop()
        self.harness.start(ip)
        self.harness.restarting_ips.discard(ip)


class HarmedStore(Fault):
    """Connections to the store are delayed, reset, one-way or silent."""

    delays_changes = True

    def inject(self, duration_ms):
        """Implement ``Fault.inject``."""
        modes = [
            m for m in store_proxy.FaultMode if m != store_proxy.FaultMode.NONE
        ]
        self.harness.proxy.fault_mode = self.rng.choice(modes)
        gevent.sleep(duration_ms / 1000)
        self.harness.proxy.fault_mode = store_proxy.FaultMode.NONE


class RefusingStore(Fault):
    """The store refuses requests and loses its change history."""

    delays_changes = True

    def inject(self, duration_ms):
        """Implement ``Fault.inject``."""
        self.harness.store.status = self.rng.choice((429, 503))
        gevent.sleep(duration_ms / 1000)
        self.harness.store.forget_history()
        self.harness.store.status = None


class RestoredStore(Fault):
    """The store is away and comes back from an older copy."""

    delays_changes = True
    OUTAGE_MS = 500
    # The operator and the servers write again within 2 s of the return.
    MAX_REWRITE_DELAY_MS = 2_000

    def inject(self, duration_ms):
        """Implement ``Fault.inject``."""
        store = self.harness.store
        copy = store.take_copy()
        gevent.sleep(duration_ms / 1000)
        store.status = 503
        gevent.sleep(self.OUTAGE_MS / 1000)
        lost = store.restore(copy)
        store.status = None
        rewrite_delay_ms = self.rng.uniform(0, self.MAX_REWRITE_DELAY_MS)
        gevent.sleep(rewrite_delay_ms / 1000)
        store.write_again(lost)


class RestartedServer(Fault):
    """A server loses its flows and returns with a later boot time."""

    def inject(self, duration_ms):
        """Implement ``Fault.inject``."""
        number = self.rng.randint(1, len(self.harness.servers))
        ip = self.harness.server_ip(number)
        if ip in self.harness.stopped_server_ips:
            return
        self.harness.stopped_server_ips.add(ip)
        self.harness.servers[ip].stop()
        gevent.sleep(duration_ms / 1000)
        self.harness.servers[ip] = self.harness.make_server(ip)
        self.harness.stopped_server_ips.discard(ip)
        born = 2 * 10**12 + round(self.harness.clock.monotonic_ms())
        self.harness.put_server(number, born=born)


class DrainedServer(Fault):
    """A server is drained and put back into use later."""

    def inject(self, duration_ms):
        """Implement ``Fault.inject``."""
        number = self.rng.randint(1, len(self.harness.servers))
        self.harness.put_server(number, state='draining')
        gevent.sleep(DRAIN_PROPAGATION_MS / 1000)
        since_ms = self.harness.clock.monotonic_ms()
        gevent.sleep(duration_ms / 1000)
        server = self.harness.servers[self.harness.server_ip(number)]
        self.harness.drain_intervals.append(
            (server, since_ms, self.harness.clock.monotonic_ms())
        )
        self.harness.put_server(number)


class NewConfiguration(Fault):
    """Two configurations are published in succession."""

    def inject(self, duration_ms):
        """Implement ``Fault.inject``."""
        for with_unused_route in (True, False):
            self.harness.publish_next_configuration(with_unused_route)
            gevent.sleep(duration_ms / 2000)


class ReloadedProcess(Fault):
    """A process is told to reload its settings (SIGHUP)."""

    def inject(self, duration_ms):
        """Implement ``Fault.inject``."""
        process = self.harness.processes[
            self.rng.choice(list(self.harness.processes))
        ]
        if process.wait(0) is None:
            process.signal(signal.SIGHUP)
        gevent.sleep(duration_ms / 1000)


class LostPackets(Fault):
    """A fifth of the clients' packets are lost."""

    LOSS_PERCENT = 20

    def inject(self, duration_ms):
        """Implement ``Fault.inject``."""
        self.harness.router.loss_percent = self.LOSS_PERCENT
        gevent.sleep(duration_ms / 1000)
        self.harness.router.loss_percent = 0


FAULT_CLASSES = (
    PausedProcess,
    EndedProcess,
    HarmedStore,
    RefusingStore,
    RestartedServer,
    DrainedServer,
    NewConfiguration,
    ReloadedProcess,
    LostPackets,
)


def make_fault(harness, rng):
    """Return a fault of a random kind."""
    return rng.choice(FAULT_CLASSES)(harness, rng)
