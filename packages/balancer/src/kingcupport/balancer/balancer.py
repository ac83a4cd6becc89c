"""Process of the balancer."""

import random

import gevent
from gevent import event

from kingcupport.balancer import data_path as data_path_module
from kingcupport.balancer import data_path_counters
from kingcupport.common import clock as clock_module
from kingcupport.control import daemon
from kingcupport.routing import hint_cache
from kingcupport.routing import suspects as suspects_module
from kingcupport.wire import control_messages
from kingcupport.wire import packet_format

# Time for the fabric to stop sending packets to a balancer that drains.
DRAIN_MS = 1_000
MAX_EXPLAINED_CANDIDATES = 3


class Balancer(daemon.Daemon):
    """One kingcupport-balancer process.

    Args:
        settings: BalancerSettings.
        clock: Clock.
        rng: random.Random.
    """

    def __init__(self, settings, clock, rng):
        super().__init__(
            'balancer',
            settings,
            clock,
            rng,
            data_path_counters.DataPathCounters(),
        )
        self._control.server.add_handlers(
            {control_messages.ExplainRequest: self._on_explain}
        )
        self._hints = hint_cache.HintCache(settings.limits.hints_count)
        self._data_path = data_path_module.DataPath(
            self._registry.fleet,
            settings.address,
            packet_format.make_packet_format(),
            self._socket.send,
            self._hints,
            suspects_module.Suspects(clock, settings.limits.avoid_ms),
            lambda: self._instances.gone,
            self._on_datagram,
            self.counters,
        )
        self._drained = event.Event()

    def _gauges(self):
        return {'hints': len(self._hints)}

    def start(self):
        """Implement ``Daemon.start``."""
        self._registry.add_accept_callback(self._on_accept)
        self.start_tasks(self._data_path.on_data)

    def _on_ready(self):
        self.health.set_ready()

    def _on_accept(self, previous, fleet):
        self._data_path.set_fleet(fleet)

    def start_drain(self, reason):
        """Report draining; a balancer has no state to hand over.

        Args:
            reason: One line for the audit trail.
        """
        self.health.start_draining(reason)
        self.audit.record('drain_started', reason=reason)
        gevent.spawn_later(DRAIN_MS / 1000, self._drained.set)

    def wait_drained(self):
        """Block until the fabric has had time to switch to other balancers."""
        self._drained.wait()

    def _on_explain(self, message, peer):
        fleet = self._registry.fleet
        service = fleet.service_at(message.service_address)
        service_name = service.name if service else ''
        connection_id = message.connection_id % (1 << 64)
        table = self._data_path.table(service_name)
        candidates = (
            table.candidates(connection_id, MAX_EXPLAINED_CANDIDATES)
            if table
            else ()
        )
        return control_messages.ExplainReply(
            sender=self._settings.name,
            revision=fleet.revision,
            service=service_name,
            bucket=table.bucket(connection_id) if table else 0,
            candidates=list(candidates),
            hint=self._data_path.hint(connection_id) or '',
            target=self._data_path.target(service_name, connection_id) or '',
        )

    def _on_unreachable(self, destination):
        self._data_path.on_unreachable(destination)


def make_balancer(settings):
    """Return a Balancer on the system's clock.

    Args:
        settings: BalancerSettings.

    Raises:
        OSError: The UDP address cannot be used.
    """
    return Balancer(
        settings, clock_module.make_system_clock(), random.SystemRandom()
    )
