"""Faults that are injected from outside the programs."""

import abc
import signal

import gevent
import store_proxy

# Time after which a draining server gets no new flow.
DRAIN_MS = 3_000


class Fault(abc.ABC):
    """One kind of fault.

    Args:
        bed: SoakBed.
        rng: random.Random.

    Attributes:
        delays_changes: Whether changes may be in force late meanwhile.
    """

    delays_changes = False

    def __init__(self, bed, rng):
        self.bed = bed
        self.rng = rng

    @abc.abstractmethod
    def inject(self, duration_ms):
        """Cause the fault and end it after a time; blocks."""


class PausedProcess(Fault):
    """A process is stopped and goes on later."""

    delays_changes = True

    def inject(self, duration_ms):
        """Implement ``Fault.inject``."""
        process = self.bed.processes[self.rng.choice(list(self.bed.processes))]
        if process.wait(0) is not None:
            return
        process.signal(signal.SIGSTOP)
        gevent.sleep(duration_ms / 1000)
        process.signal(signal.SIGCONT)


class EndedProcess(Fault):
    """A process is killed, or told to stop, and started again later."""

    delays_changes = True

    # The grace that the platform gives, in ms.
    GRACE_MS = 6_000

    def inject(self, duration_ms):
        """Implement ``Fault.inject``."""
        ip = self.rng.choice(list(self.bed.processes))
        process = self.bed.processes[ip]
        if ip in self.bed.restarted or process.wait(0) is not None:
            return
        self.bed.restarted.add(ip)
        number = self.rng.choice((signal.SIGKILL, signal.SIGTERM))
        process.signal(number)
        process.signal(signal.SIGCONT)
        if number == signal.SIGTERM:
            code = process.wait(self.GRACE_MS / 1000)
            assert code == 0, f'{ip} ended with {code} after SIGTERM'
        gevent.sleep(duration_ms / 1000)
        process.stop()
        self.bed.start(ip)
        self.bed.restarted.discard(ip)


class HarmedStore(Fault):
    """Connections to the store are delayed, reset, cut or silent."""

    delays_changes = True

    def inject(self, duration_ms):
        """Implement ``Fault.inject``."""
        harms = [h for h in store_proxy.Harm if h != store_proxy.Harm.NONE]
        self.bed.proxy.harm = self.rng.choice(harms)
        gevent.sleep(duration_ms / 1000)
        self.bed.proxy.harm = store_proxy.Harm.NONE


class RefusingStore(Fault):
    """The store turns callers away, and drops its history."""

    delays_changes = True

    def inject(self, duration_ms):
        """Implement ``Fault.inject``."""
        self.bed.store.status = self.rng.choice((429, 503))
        gevent.sleep(duration_ms / 1000)
        self.bed.store.forget_history()
        self.bed.store.status = None


class RestartedServer(Fault):
    """A server loses its flows and comes back as a later boot."""

    def inject(self, duration_ms):
        """Implement ``Fault.inject``."""
        number = self.rng.randint(1, len(self.bed.servers))
        ip = self.bed.server_ip(number)
        if ip in self.bed.servers_down:
            return
        self.bed.servers_down.add(ip)
        self.bed.servers[ip].stop()
        gevent.sleep(duration_ms / 1000)
        self.bed.servers[ip] = self.bed.make_server(ip)
        self.bed.servers_down.discard(ip)
        born = 2 * 10**12 + round(self.bed.clock.monotonic_ms())
        self.bed.put_server(number, born=born)


class DrainedServer(Fault):
    """A server is drained and used again later."""

    def inject(self, duration_ms):
        """Implement ``Fault.inject``."""
        number = self.rng.randint(1, len(self.bed.servers))
        self.bed.put_server(number, state='draining')
        gevent.sleep(DRAIN_MS / 1000)
        since_ms = self.bed.clock.monotonic_ms()
        gevent.sleep(duration_ms / 1000)
        server = self.bed.servers[self.bed.server_ip(number)]
        self.bed.drains.append(
            (server, since_ms, self.bed.clock.monotonic_ms())
        )
        self.bed.put_server(number)


class NewConfiguration(Fault):
    """Configurations come one after the other."""

    def inject(self, duration_ms):
        """Implement ``Fault.inject``."""
        for with_spare in (True, False):
            self.bed.put_next_configuration(with_spare)
            gevent.sleep(duration_ms / 2000)


class ReloadedProcess(Fault):
    """A process is told to read its settings again."""

    def inject(self, duration_ms):
        """Implement ``Fault.inject``."""
        process = self.bed.processes[self.rng.choice(list(self.bed.processes))]
        if process.wait(0) is None:
            process.signal(signal.SIGHUP)
        gevent.sleep(duration_ms / 1000)


class LostPackets(Fault):
    """A fifth of the clients' packets are lost."""

    LOSS_PERCENT = 20

    def inject(self, duration_ms):
        """Implement ``Fault.inject``."""
        self.bed.router.loss_percent = self.LOSS_PERCENT
        gevent.sleep(duration_ms / 1000)
        self.bed.router.loss_percent = 0


KINDS = (
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


def make_fault(bed, rng):
    """Return a fault of a random kind."""
    return rng.choice(KINDS)(bed, rng)
