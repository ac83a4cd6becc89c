"""Process that forwards flows between balancers and one server."""

import logging

import gevent
from gevent import event

from kingcupport.agent import flow_counters
from kingcupport.agent import flow_data_path
from kingcupport.control import periodic_task
from kingcupport.observability import decision_log
from kingcupport.observability import health as health_module
from kingcupport.observability import probe_server
from kingcupport.wire import datagram_socket

LOG = logging.getLogger(__name__)

# Interval of the checks while an opening packet or a survey waits for an
# answer, which is for 60 ms at most.
SERVER_CHECK_INTERVAL_MS = 20
# Interval of the checks while nothing waits.
IDLE_SERVER_CHECK_INTERVAL_MS = 500
EXPIRY_INTERVAL_MS = 2_000
# Duplicates of packets that are still in flight arrive within this time.
IN_FLIGHT_GRACE_MS = 300


class FlowAgent:
    """Forwards packets between balancers, one server and clients.

    Args:
        settings: FlowAgentSettings.
        clock: Clock.
        rng: random.Random.
        packet_format: FlowPacketFormat.

    Attributes:
        health: Health of the process.
        finished: Event that is set when the process ends by itself.
    """

    def __init__(self, settings, clock, rng, packet_format):
        self.health = health_module.Health()
        self.finished = event.Event()
        self.counters = flow_counters.FlowCounters()
        self._settings = settings
        self._clock = clock
        self._tasks = []
        self._pending_event = event.Event()
        self._balancer_socket = datagram_socket.DatagramSocket(
            settings.agent_address, _ignore_unreachable
        )
        self._server_socket = datagram_socket.DatagramSocket(
            settings.outbound_address, self._on_unreachable
        )
        self.data_path = flow_data_path.FlowDataPath(
            settings,
            clock,
            rng,
            packet_format,
            self.counters,
            decision_log.make_decision_log(clock),
            send_to_server=self._server_socket.send,
            send_to_client=self._balancer_socket.send,
            send_to_balancer=self._balancer_socket.send,
            on_pending=self._pending_event.set,
            call_later=_call_later,
        )
        self._probes = probe_server.ProbeServer(
            settings.probe_address,
            {
                settings.ready_path: self._serve_readiness,
                '/metrics': self._serve_metrics,
            },
        )

    def start(self):
        """Start forwarding packets.

        Raises:
            OSError: An address cannot be used.
        """
        self._probes.start()
        loops = (
            lambda: self._balancer_socket.receive_in_event_loop(
                self.data_path.on_balancer_datagram
            ),
            lambda: self._server_socket.receive_in_event_loop(
                self.data_path.on_server_datagram
            ),
            self._run_checks,
            self._run_expiry,
        )
        self._tasks = [
            gevent.spawn(periodic_task.run_with_restart, loop)
            for loop in loops
        ]
        self.health.set_ready()
        LOG.info(
            'process started',
            extra={
                'program': 'agent',
                'instance': self._settings.name,
                'service': self._settings.service,
                'server': str(self._settings.server_address),
            },
        )

    def start_drain(self, reason):
        """Stop accepting new flows.

        Args:
            reason: One line for the log.
        """
        self.health.start_draining(reason)
        self.data_path.start_leaving()
        LOG.info(
            'stopping',
            extra={
                'reason': reason,
                'flows': self.data_path.held_flows.open_count,
                'running': self.data_path.held_flows.running,
            },
        )

    def wait_drained(self):
        """Block until no flow is open or ``stop_after_ms`` has passed."""
        deadline_ms = self._clock.monotonic_ms() + self._settings.stop_after_ms
        gevent.sleep(IN_FLIGHT_GRACE_MS / 1000)
        while (
            self.data_path.held_flows.open_count
            and self._clock.monotonic_ms() < deadline_ms
        ):
            gevent.sleep(SERVER_CHECK_INTERVAL_MS / 1000)

    def stop(self):
        """Stop all tasks and close the sockets."""
        gevent.killall(self._tasks, block=False)
        self._probes.stop()
        self._balancer_socket.close()
        self._server_socket.close()

    def _on_unreachable(self, destination):
        self.data_path.on_unreachable(destination)

    def _run_checks(self):
        while True:
            if not self.data_path.has_pending:
                self._pending_event.clear()
                self._pending_event.wait(IDLE_SERVER_CHECK_INTERVAL_MS / 1000)
            gevent.sleep(SERVER_CHECK_INTERVAL_MS / 1000)
            self.data_path.check_pending()

    def _run_expiry(self):
        while True:
            gevent.sleep(EXPIRY_INTERVAL_MS / 1000)
            self.data_path.drop_expired()

    def _serve_readiness(self):
        if self.health.ready:
            return 200, 'ready\n'
        return 503, f'{self.health.state}: {self.health.reason}\n'

    def _serve_metrics(self):
        # Imported here because aioprometheus takes 2 MB of memory, and only
        # processes whose metrics are read need it.
        from kingcupport.observability import metrics as metrics_module

        metrics = metrics_module.make_metrics('agent')
        metrics.register_totals(self.counters.totals)
        metrics.register_latencies(self.counters.latencies)
        metrics.register_gauges(self._gauges)
        return 200, metrics.render()

    def _gauges(self):
        held_flows = self.data_path.held_flows
        return {
            'flows': len(held_flows),
            'flows_open': held_flows.open_count,
            'flows_evicted_open': held_flows.evicted_open_count,
            'requests_running': held_flows.running,
            'cold_limit': -1
            if self.data_path.cold_limit.limit is None
            else self.data_path.cold_limit.limit,
            'answers_failing_percent': held_flows.failing_percent(),
            'service_time_ms': self._service_time_ms(),
            'openings_allowed': self.data_path.openings_allowed,
        }

    def _service_time_ms(self):
        measured = self.data_path.held_flows.service_time
        return 0.0 if measured is None else measured.median_ms()


def _call_later(delay_ms, function):
    gevent.spawn_later(
        delay_ms / 1000, periodic_task.run_and_log_errors, function
    )


def _ignore_unreachable(destination):
    LOG.debug('balancer unreachable', extra={'ip': destination[0]})
