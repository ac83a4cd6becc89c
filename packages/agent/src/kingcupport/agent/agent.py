"""Wires the components of an agent, starts them and drains them."""

import random

import gevent

from kingcupport.agent import connection_factory
from kingcupport.agent import connection_mover
from kingcupport.agent import data_path as data_path_module
from kingcupport.agent import data_path_counters
from kingcupport.agent import drain as drain_module
from kingcupport.agent import fleet_entry
from kingcupport.agent import placement
from kingcupport.common import clock as clock_module
from kingcupport.connections import connection_table
from kingcupport.connections import handed_over_requests
from kingcupport.connections import handoff_receiver
from kingcupport.connections import handoff_sender
from kingcupport.connections import request_ids
from kingcupport.control import daemon
from kingcupport.fleet import service as service_module
from kingcupport.requests import claim_gate_port
from kingcupport.requests import http_backend_port
from kingcupport.requests import keyed_runner
from kingcupport.requests import peer_loads
from kingcupport.requests import scheduler as scheduler_module
from kingcupport.requests import service_view
from kingcupport.requests import work_sharing
from kingcupport.routing import suspects as suspects_module
from kingcupport.wire import packet_format

SUSPECT_TIMEOUT_MS = 2_000
# A release note takes up to 15 s to reach every process. Until then balancers
# that route by an older revision still send packets to a withdrawn agent.
WITHDRAWAL_GRACE_MS = 15_000
SERVER_CHECK_INTERVAL_MS = 500


class Agent(daemon.Daemon):
    """One kingcupport-agent process.

    The process exits on its own once a release note has withdrawn it and its
    drain is over.

    Args:
        settings: AgentSettings.
        clock: Clock.
        rng: random.Random.
    """

    def __init__(self, settings, clock, rng):
        super().__init__(
            'agent',
            settings,
            clock,
            rng,
            data_path_counters.DataPathCounters(),
        )
        self._suspects = suspects_module.Suspects(clock, SUSPECT_TIMEOUT_MS)
        self._table = connection_table.ConnectionTable(
            clock, settings.limits.max_connections_count
        )
        self._request_ids = request_ids.make_id_source(
            f'{settings.name}-{rng.getrandbits(48):012x}'
        )
        self._make_requests()
        self._make_connections()

    def _make_requests(self):
        settings = self._settings
        self._claim_gate = claim_gate_port.ClaimGatePort(
            http_backend_port.make_http_backend_port(
                settings.server_address, self._clock, settings.slots_count
            )
        )
        self._loads = peer_loads.PeerLoads(
            self._clock, lambda: len(self._table)
        )
        sharing = work_sharing.make_work_sharing(
            settings.name,
            self._control.pool,
            self._clock,
            self._rng,
            self._read_service_view,
            self._loads,
        )
        self._scheduler = scheduler_module.RequestScheduler(
            self._claim_gate,
            self._clock,
            settings.slots_count,
            sharing=sharing,
        )
        self._control.server.add_handlers(sharing.handlers())
        self._runner = None

    def _read_service_view(self):
        service = self._settings.service
        fleet = self._registry.fleet
        if service in fleet.services:
            return service_view.make_service_view(fleet, service)
        return service_view.ServiceView(
            service=service,
            revision=fleet.revision,
            hosts=(),
            total_slots=0,
            long_work_percent=service_module.DEFAULT_LONG_WORK_PERCENT,
        )

    def _make_connections(self):
        settings = self._settings
        self._handed_over_requests = handed_over_requests.HandedOverRequests(
            settings.name, self._registry, self._clock
        )
        self._factory = connection_factory.ConnectionFactory(
            settings,
            self._registry,
            self._control.pool,
            self._clock,
            self._rng,
            self._table,
            self.counters,
            self._send_packet,
            self._request_ids,
        )
        self._data_path = self._make_data_path()
        receiver = handoff_receiver.HandoffReceiver(
            settings.name,
            self._registry,
            self._clock,
            self._factory.adopt,
            self._handoff_refusal_reason,
        )
        sender = handoff_sender.HandoffSender(
            settings.name,
            self._registry,
            self._control.pool,
            self._clock,
            self._table,
            self._handed_over_requests,
            self._request_ids,
        )
        self._mover = connection_mover.ConnectionMover(
            self._data_path,
            self._table,
            sender,
            self._clock,
            self._loads,
            self.counters,
            self.audit,
        )
        self._drain = drain_module.Drain(
            settings.limits.drain_timeout_ms,
            self._clock,
            self.health,
            self.audit,
            self._data_path,
            self._mover,
            self._scheduler,
            self._handed_over_requests,
        )
        self._control.server.add_handlers(receiver.handlers())
        self._control.server.add_handlers(
            self._handed_over_requests.handlers()
        )

    def _make_data_path(self):
        settings = self._settings
        open_placement = placement.OpenPlacement(
            settings.name,
            settings.limits.placement_bound_percent,
            lambda: len(self._table),
            self._loads.expected_mean_connections,
        )
        return data_path_module.DataPath(
            name=settings.name,
            service=settings.service,
            fleet=self._registry.fleet,
            packet_format=packet_format.make_packet_format(),
            send=self._socket.send,
            table=self._table,
            placement=open_placement,
            accept=self._factory.accept,
            suspects=self._suspects,
            on_datagram=self._on_datagram,
            on_revision=self._control.gossip.on_revision_seen,
            counters=self.counters,
        )

    def _gauges(self):
        return {
            'connections': len(self._table),
            'redirects': self._table.redirect_count,
            'lent_runs': self._handed_over_requests.running_count,
            'queued_requests': self._scheduler.queued,
            'running_requests': self._scheduler.running,
        }

    def _figures(self):
        keyed = self._runner.figures() if self._runner else {}
        return {**super()._figures(), **keyed}

    def start(self):
        """Start the tasks; packets are dropped until the fleet is known."""
        self.start_tasks(self._data_path.on_data)

    def _on_ready(self):
        self._runner = keyed_runner.make_keyed_request_runner(
            name=self._settings.name,
            service=self._settings.service,
            registry=self._registry,
            first_observed_revision=self._registry.fleet.revision,
            instance_list=self._instances,
            caller=self._control.pool,
            clock=self._clock,
            rng=self._rng,
            next_runner=self._scheduler,
        )
        self._control.server.add_handlers(self._runner.handlers)
        self._claim_gate.may_run = self._runner.may_run
        self._factory.runner = self._runner
        self._drain.keyed_runner = self._runner
        self._runner.start()
        self._registry.add_accept_callback(self._on_accept)
        self._data_path.set_fleet(self._registry.fleet)
        self._data_path.started = True
        self._check_fleet_entry(self._registry.fleet)
        self._spawn(self._watch_server)
        self._spawn(
            self._mover.rebalance_forever,
            self._settings.limits.rebalance_per_s,
            lambda: self._data_path.draining,
        )

    def _on_accept(self, previous, fleet):
        self._data_path.set_fleet(fleet)
        was_member = not fleet_entry.has_left_service(previous, self._settings)
        if was_member and fleet_entry.has_left_service(fleet, self._settings):
            self.audit.record('withdrawn', revision=fleet.revision)
            self.start_drain('withdrawn by a release note')
            gevent.spawn(self._finish_when_withdrawn)
            return
        self._check_fleet_entry(fleet)

    def _finish_when_withdrawn(self):
        self._drain.wait(WITHDRAWAL_GRACE_MS)
        self.finished.set()

    def _watch_server(self):
        """Report not ready while the backend server is unavailable."""
        while True:
            self._clock.sleep_until(
                self._clock.monotonic_ms() + SERVER_CHECK_INTERVAL_MS
            )
            if self._scheduler.server_ready:
                self._check_fleet_entry(self._registry.fleet)
            else:
                self.health.set_not_ready('the backend server is away')

    def _check_fleet_entry(self, fleet):
        reason = fleet_entry.describe_mismatch(fleet, self._settings)
        if reason:
            self.health.set_not_ready(reason)
        else:
            self.health.set_ready()

    def start_drain(self, reason):
        """Hand over all connections and let running requests finish.

        Args:
            reason: One line for the audit trail.
        """
        self._drain.start(reason)

    def wait_drained(self):
        """Block until the drain and its redirect grace period are over."""
        self._drain.wait()

    def stop(self):
        """Stop all tasks and close the sockets."""
        if self._runner is not None:
            self._runner.stop()
        self._scheduler.stop()
        super().stop()

    def _handoff_refusal_reason(self):
        if self.health.draining:
            return 'draining'
        if self._runner is None:
            return 'starting'
        return 'too many connections' if self._table.full else ''

    def _send_packet(self, packet):
        self._data_path.send_packet(packet)

    def _on_unreachable(self, destination):
        self._data_path.on_unreachable(destination)


def make_agent(settings):
    """Return an Agent that uses the system clock.

    Args:
        settings: AgentSettings.

    Raises:
        OSError: The UDP address cannot be used.
    """
    return Agent(
        settings, clock_module.make_system_clock(), random.SystemRandom()
    )
