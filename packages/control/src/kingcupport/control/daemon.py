"""Base class of the balancer and agent daemons."""

import abc
import logging

import attrs
import gevent
from gevent import event

from kingcupport.control import control_plane
from kingcupport.control import instance_list
from kingcupport.control import polled_instance_list
from kingcupport.observability import audit_trail
from kingcupport.observability import health as health_module
from kingcupport.observability import http_server
from kingcupport.observability import metrics as metrics_module
from kingcupport.wire import datagram_socket
from kingcupport.wire import datagrams

LOG = logging.getLogger(__name__)

READY_POLL_MS = 50


class Daemon(abc.ABC):
    """Process with a UDP socket, a control plane, metrics and health checks.

    A subclass builds its data path in its constructor and passes its datagram
    handler to ``start_tasks``.

    Args:
        program: ``balancer`` or ``agent``.
        settings: Settings of the program; both settings classes have the
            fields used here.
        clock: Clock.
        rng: random.Random.
        counters: attrs class of integer counters of the data path.

    Attributes:
        health: Health of the process.
        audit: AuditTrail of the process.
        counters: The ``counters`` argument.
        finished: Event that is set when the process is to exit without a
            signal.
    """

    def __init__(self, program, settings, clock, rng, counters):
        self.health = health_module.Health()
        self.audit = audit_trail.AuditTrail(clock)
        self.counters = counters
        self.finished = event.Event()
        self._program = program
        self._settings = settings
        self._clock = clock
        self._rng = rng
        self._tasks = []
        self._http = None
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
            state=lambda: str(self.health.state),
            figures=self._figures,
        )
        self._registry = self._control.registry
        self._instances = polled_instance_list.PolledInstanceList(
            instance_list.make_http_instance_list(
                settings.configuration_address
            ),
            clock,
            rng,
            lambda: len(self._registry.peer_addresses),
        )

    @abc.abstractmethod
    def start(self):
        """Start fetching the fleet and handling packets.

        Raises:
            OSError: An address cannot be bound.
        """

    @abc.abstractmethod
    def start_drain(self, reason):
        """Start to drain the process without failing callers' requests.

        Args:
            reason: Single-line text for the audit trail.
        """

    @abc.abstractmethod
    def wait_drained(self):
        """Block until draining has finished and the process may stop."""

    @abc.abstractmethod
    def _on_unreachable(self, destination):
        """Handle ``(ip, port)`` of a peer whose port is closed."""

    @abc.abstractmethod
    def _on_ready(self):
        """Start service; the fleet is known and was compared with peers."""

    @abc.abstractmethod
    def _gauges(self):
        """Return the current values of the gauges by name."""

    def start_tasks(self, on_data):
        """Start all servers and tasks.

        Args:
            on_data: Called as ``on_data(data, source)`` for each datagram.

        Raises:
            OSError: An address cannot be bound.
        """
        self._http = http_server.make_http_server(
            self._settings.http_address, self._make_metrics(), self.health
        )
        self._http.start()
        self._control.start()
        self._spawn(self._socket.receive_forever, on_data)
        self._spawn(self._instances.run)
        self._spawn(self._wait_ready)

    def _spawn(self, function, *arguments):
        self._tasks.append(gevent.spawn(function, *arguments))

    def _wait_ready(self):
        while not self._control.ready:
            self._clock.sleep_until(self._clock.monotonic_ms() + READY_POLL_MS)
        self._on_ready()
        LOG.info(
            'process started',
            extra={
                'program': self._program,
                'instance': self._settings.name,
                'revision': self._registry.fleet.revision,
            },
        )

    def stop(self):
        """Stop all tasks and close the sockets."""
        gevent.killall(self._tasks, block=False)
        self._control.stop()
        self._http.stop(timeout=1)
        self._socket.close()

    def _make_metrics(self):
        metrics = metrics_module.make_metrics(self._program)
        metrics.register_totals(self._totals)
        metrics.register_gauges(self._all_gauges)
        metrics.register_events(
            'control_events_total',
            'Events of the control plane',
            self._control.counts,
        )
        return metrics

    def _totals(self):
        return attrs.asdict(self.counters)

    def _all_gauges(self):
        return {**self._gauges(), 'revision': self._registry.fleet.revision}

    def _figures(self):
        return {**self._totals(), **self._gauges()}

    def _send_to_address(self, data, address):
        self._socket.send(data, address.as_tuple())

    def _on_datagram(self, datagram, source):
        if isinstance(datagram, datagrams.RevisionNotice):
            self._control.gossip.on_notice(datagram)
