"""Process of the balancer of forwarded flows."""

import logging

import gevent
from gevent import event

from kingcupport.balancer import flow_counters
from kingcupport.balancer import flow_data_path
from kingcupport.balancer import flow_view_sync
from kingcupport.common import errors
from kingcupport.control import periodic_task
from kingcupport.flows import fleet_view
from kingcupport.flows import read_schedule
from kingcupport.flows import store_revision
from kingcupport.observability import decision_log
from kingcupport.observability import health as health_module
from kingcupport.observability import probe_server
from kingcupport.wire import datagram_socket
from kingcupport.wire import flow_datagrams

LOG = logging.getLogger(__name__)

# Interval at which openings and searches are checked for timeouts, which are
# 60 to 100 ms.
CHECK_INTERVAL_MS = 40
EXPIRY_INTERVAL_MS = 2_000
# Packets that arrived before the first view are handled after this delay, by
# when the load reports of the agents have arrived.
EARLY_PACKETS_DELAY_MS = 5
# The view exchange is started after this delay, so that loading it does not
# delay the first flows.
EXCHANGE_START_DELAY_MS = 1_000


class FlowBalancer:
    """Forwards packets from clients to the agents of their flows.

    Args:
        settings: FlowBalancerSettings.
        clock: Clock.
        rng: random.Random.
        packet_format: FlowPacketFormat.
        source: FleetSource.

    Attributes:
        health: Health of the process.
        finished: Event that is set when the process ends by itself.
        counters: FlowCounters.
        view: FleetView.
        source: FleetSource.
        sync: FlowViewSync.
        data_path: FlowDataPath.
    """

    def __init__(self, settings, clock, rng, packet_format, source):
        self.health = health_module.Health()
        self.finished = event.Event()
        self.counters = flow_counters.FlowCounters()
        self.view = fleet_view.make_fleet_view(
            clock, settings.server_expiry_ms
        )
        self._settings = settings
        self._clock = clock
        self._tasks = []
        self.source = source
        self._client_socket = datagram_socket.DatagramSocket(
            settings.packet_address, _ignore_unreachable
        )
        self._peer_socket = datagram_socket.DatagramSocket(
            settings.peer_address, self._on_unreachable
        )
        self._schedule = read_schedule.make_read_schedule(
            clock, rng, settings.name, self.view
        )
        self.sync = flow_view_sync.FlowViewSync(
            settings,
            clock,
            rng,
            self.view,
            self._schedule,
            source,
            self._pull_view,
            self.counters,
            self._peer_socket.send,
        )
        self.data_path = flow_data_path.FlowDataPath(
            settings,
            clock,
            packet_format,
            self.view,
            self.counters,
            decision_log.make_decision_log(clock),
            send_to_client=self._client_socket.send,
            send_to_agent=self._peer_socket.send,
            call_later=_call_later,
            request_read=self.sync.request_read,
        )
        self.view.on_change(self._on_view_change)
        self._exchange = None
        self._probes = probe_server.ProbeServer(
            settings.probe_address,
            {
                settings.ready_path: self._serve_readiness,
                '/metrics': self._serve_metrics,
            },
        )

    def start(self):
        """Start all tasks: synchronization of the view and forwarding.

        Raises:
            OSError: An address cannot be used.
        """
        self._probes.start()
        loops = (
            lambda: self._client_socket.receive_in_event_loop(
                self.data_path.on_client_datagram
            ),
            lambda: self._peer_socket.receive_in_event_loop(
                self._on_peer_datagram
            ),
            self.sync.run_reader,
            self.sync.run_greetings,
            self.sync.run_puller,
            self._run_checks,
            self._run_expiry,
            self._run_exchange,
        )
        self._tasks = [
            gevent.spawn(periodic_task.run_with_restart, loop)
            for loop in loops
        ]
        LOG.info(
            'process started',
            extra={'program': 'balancer', 'instance': self._settings.name},
        )

    def start_drain(self, reason):
        """Report not ready and announce the stop to some peers.

        Args:
            reason: One line for the log.
        """
        self.health.start_draining(reason)
        self.sync.is_leaving = True
        self.sync.greet()
        LOG.info(
            'stopping', extra={'reason': reason, 'flows': self._flow_count()}
        )

    def wait_drained(self):
        """Block until the routers have had time to use other balancers."""
        self._clock.sleep_until(
            self._clock.monotonic_ms() + self._settings.stop_after_ms
        )

    def stop(self):
        """Stop all tasks and close the sockets."""
        gevent.killall(self._tasks, block=False)
        self._probes.stop()
        if self._exchange is not None:
            self._exchange.stop()
        self.source.close()
        self._client_socket.close()
        self._peer_socket.close()

    def _flow_count(self):
        return len(self.data_path.table)

    def _on_peer_datagram(self, data, source):
        try:
            datagram = flow_datagrams.decode(data)
        except errors.KingcupportError:
            self.counters.peer_datagrams_malformed += 1
            return
        if isinstance(datagram, flow_datagrams.BalancerGreeting):
            self.sync.on_greeting(datagram, source[0])
            self._update_ready()
        else:
            self.data_path.on_agent_datagram(datagram, source[0])

    def _on_unreachable(self, destination):
        self.data_path.on_unreachable(destination)

    def _on_view_change(self, kind, fields):
        LOG.info(
            'audit',
            extra={
                'audit_kind': kind,
                'view_revision': store_revision.to_text(
                    self.view.content_revision
                ),
                **fields,
            },
        )
        if kind == 'server_changed':
            self.sync.greet_agents_now([fields['ip']])
        elif kind == 'configuration_accepted':
            # A new route may be the first of a service that has servers.
            loads = self.data_path.loads
            self.sync.greet_agents_now(
                ip
                for ip in self.data_path.agent_ips
                if loads.get(ip).reported_ms is None
            )
        self._update_ready()

    def _update_ready(self):
        if self.view.is_populated and not self.health.ready:
            self.health.set_ready()
            # The agents report their loads within about 2 ms. Flows that are
            # placed without reports overload a few servers.
            gevent.spawn_later(
                EARLY_PACKETS_DELAY_MS / 1000,
                self.data_path.handle_early_packets,
            )

    def _run_checks(self):
        periodic_task.run_in_event_loop(CHECK_INTERVAL_MS, self._check)

    def _check(self):
        self.data_path.opener.check_openings()
        self.data_path.opener.check_waiting()
        self.data_path.finder.check_searches()
        self.sync.greet_agents(self.data_path.loads, self.data_path.agent_ips)

    def _run_expiry(self):
        while True:
            gevent.sleep(EXPIRY_INTERVAL_MS / 1000)
            self.data_path.drop_expired()

    def _run_exchange(self):
        gevent.sleep(EXCHANGE_START_DELAY_MS / 1000)
        self._open_exchange()
        event.Event().wait()

    def _open_exchange(self):
        if self._exchange is None:
            # Imported here because its imports would delay the start.
            from kingcupport.balancer import flow_view_exchange

            exchange = flow_view_exchange.make_flow_view_exchange(
                self._settings, self._clock, self.view, self.counters
            )
            exchange.start()
            self._exchange = exchange
        return self._exchange

    def _pull_view(self, ip):
        return self._open_exchange().pull(ip)

    def _serve_readiness(self):
        if self.health.ready:
            return 200, 'ready\n'
        return 503, f'{self.health.state}: {self.health.reason}\n'

    def _serve_metrics(self):
        # Imported here because aioprometheus takes 2 MB, which only a process
        # that is scraped needs.
        from kingcupport.observability import metrics as metrics_module

        metrics = metrics_module.make_metrics('balancer')
        metrics.register_totals(self.counters.totals)
        metrics.register_latencies(self.counters.latencies)
        metrics.register_events(
            'resets_by_reason_total',
            'Resets by reason, also those that refuse a flow',
            self.counters.resets_by_reason,
        )
        metrics.register_gauges(self._gauges)
        return 200, metrics.render()

    def _gauges(self):
        age_ms = self.view.confirmation.age_ms()
        return {
            'flows': self._flow_count(),
            'openings_waiting': len(self.data_path.opener.waiting),
            'searches_open': len(self.data_path.finder),
            'servers': len(self.view.servers),
            'evacuated_data_centres': len(self.view.evacuations.active),
            'configuration_version': self.view.configuration.version,
            'view_age_ms': -1 if age_ms is None else age_ms,
            'view_read_revision': store_revision.number_of(
                self.view.read_revision
            ),
            'store_era': self.view.era,
            'servers_of_other_pace': self.data_path.loads.other_pace_count(),
            'servers_starting': self.data_path.loads.starting_count(),
            'datagrams_dropped': (
                self._client_socket.dropped_count
                + self._peer_socket.dropped_count
            ),
        }


def _call_later(delay_ms, function):
    gevent.spawn_later(
        delay_ms / 1000, periodic_task.run_and_log_errors, function
    )


def _ignore_unreachable(destination):
    LOG.debug('client address unreachable', extra={'ip': destination[0]})
