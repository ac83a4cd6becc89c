"""The balancer: all parts put together, started and stopped."""

import logging
import random

import attrs
import gevent
from gevent import event

from kingcupport.balancer import data_path as data_path_module
from kingcupport.balancer import data_path_counters
from kingcupport.common import clock as clock_module
from kingcupport.control import control_plane
from kingcupport.observability import audit_trail
from kingcupport.observability import health as health_module
from kingcupport.observability import http_server
from kingcupport.observability import metrics as metrics_module
from kingcupport.routing import hint_cache
from kingcupport.routing import suspects as suspects_module
from kingcupport.wire import control_messages
from kingcupport.wire import datagram_socket
from kingcupport.wire import datagrams
from kingcupport.wire import packet_format

LOG = logging.getLogger(__name__)

# The fabric needs a moment to stop sending to a balancer that leaves.
DRAIN_MS = 1_000
EXPLAINED_CANDIDATES = 3
_POLL_MS = 50


class Balancer:
    """One kingcupport-balancer process.

    Args:
        settings: BalancerSettings.
        clock: Clock.
        rng: random.Random.

    Attributes:
        finished: Event that a process sets which ends by itself; a balancer
            never does.
    """

    def __init__(self, settings, clock, rng):
        self._settings = settings
        self._clock = clock
        self.health = health_module.Health()
        self.audit = audit_trail.AuditTrail(clock)
        self.counters = data_path_counters.DataPathCounters()
        self._socket = datagram_socket.DatagramSocket(
            settings.address, self._on_unreachable
        )
        self._control = control_plane.make_control_plane(
            name=settings.name,
            address=settings.address,
            clock=clock,
            rng=rng,
            audit=self.audit,
            send_datagram=self._send_to_address,
            reader=settings.configuration_address,
            seeds=settings.seeds,
            handlers={control_messages.ExplainRequest: self._on_explain},
            state=lambda: str(self.health.state),
            figures=self._figures,
        )
        self._keeper = self._control.keeper
        self._hints = hint_cache.HintCache(settings.limits.hints_count)
        self._data_path = data_path_module.DataPath(
            self._keeper.fleet,
            settings.address,
            packet_format.make_packet_format(),
            self._socket.send,
            self._hints,
            suspects_module.Suspects(clock, settings.limits.avoid_ms),
            self._on_datagram,
            self.counters,
        )
        self._http = http_server.make_http_server(
            settings.http_address, self._make_metrics(), self.health
        )
        self._tasks = []
        self._drained = event.Event()
        self.finished = event.Event()

    def _make_metrics(self):
        metrics = metrics_module.make_metrics('balancer')
        metrics.mirror_totals(self._totals)
        metrics.mirror_gauges(self._gauges)
        metrics.mirror_events(
            'control_events_total',
            'Events of the control plane',
            self._control.counts,
        )
        return metrics

    def _totals(self):
        return attrs.asdict(self.counters)

    def _gauges(self):
        return {
            'hints': len(self._hints),
            'revision': self._keeper.fleet.revision,
        }

    def _figures(self):
        return {**self._totals(), **self._gauges()}

    def start(self):
        """Start to learn the fleet and to forward packets.

        Raises:
            OSError: An address cannot be used.
        """
        self._keeper.on_accept(self._on_accept)
        self._http.start()
        self._control.start()
        self._tasks = [
            gevent.spawn(
                self._socket.receive_forever, self._data_path.on_data
            ),
            gevent.spawn(self._become_ready),
        ]

    def _become_ready(self):
        while not self._control.ready:
            self._clock.sleep_until(self._clock.monotonic_ms() + _POLL_MS)
        self.health.set_ready()
        LOG.info(
            'balancer started',
            extra={
                'balancer': self._settings.name,
                'revision': self._keeper.fleet.revision,
            },
        )

    def _on_accept(self, previous, fleet):
        self._data_path.set_fleet(fleet)

    def start_drain(self, reason):
        """Report draining; a balancer keeps nothing to give away.

        Args:
            reason: One line for the audit trail.
        """
        self.health.start_draining(reason)
        self.audit.record('drain_started', reason=reason)
        gevent.spawn_later(DRAIN_MS / 1000, self._drained.set)

    def wait_drained(self):
        """Block until the fabric had time to choose other balancers."""
        self._drained.wait()

    def stop(self):
        """Stop all tasks and close the sockets."""
        gevent.killall(self._tasks, block=False)
        self._control.stop()
        self._http.stop(timeout=1)
        self._socket.close()

    def _on_explain(self, message, peer):
        fleet = self._keeper.fleet
        service = fleet.service_at(message.service_address)
        service_name = service.name if service else ''
        connection_id = message.connection_id % (1 << 64)
        table = self._data_path.table(service_name)
        candidates = (
            table.candidates(connection_id, EXPLAINED_CANDIDATES)
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

    def _send_to_address(self, data, address):
        self._socket.send(data, address.as_tuple())

    def _on_datagram(self, datagram, source):
        if isinstance(datagram, datagrams.RevisionNotice):
            self._control.spreader.on_notice(datagram)

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
