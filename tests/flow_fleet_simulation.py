"""Simulation of balancers, agents, servers and clients of forwarded flows.

The balancers and agents are the product's data paths on one manual clock; the
network, the servers and the clients are models. Nothing is lost unless a test
takes a part down.
"""

import collections
import heapq
import itertools
import random

import attrs
import flow_support
import view_sync_simulation

from kingcupport.agent import flow_counters as agent_counters
from kingcupport.agent import flow_data_path as agent_data_path
from kingcupport.agent import flow_settings as agent_settings
from kingcupport.balancer import flow_counters as balancer_counters
from kingcupport.balancer import flow_data_path as balancer_data_path
from kingcupport.balancer import flow_settings as balancer_settings
from kingcupport.balancer import flow_view_sync
from kingcupport.common import address
from kingcupport.flows import fleet_source
from kingcupport.flows import fleet_view
from kingcupport.flows import flow_route
from kingcupport.flows import read_schedule
from kingcupport.observability import decision_log
from kingcupport.wire import flow_datagrams

FORMAT = flow_support.FORMAT
GATE = flow_support.GATE
AGENT_PORT = 8172
SERVER_PORT = 8645
PEER_PORT = 7720
PROBE_PORT = 8167
ONE_WAY_DELAY_MS = 0.6
LOCAL_DELAY_MS = 0.1
CLIENT_DELAY_MS = 3.0
CHECK_INTERVAL_MS = 20
# Time from the request for a read until it starts.
READ_DELAY_MS = 50
# Times after the first copy at which a client sends its opening packet, and
# the time at which it gives up.
COPY_DELAYS_MS = (0, 200, 600)
OPEN_TIMEOUT_MS = 1_400
RETRANSMISSION_DELAYS_MS = (200, 600, 1_400, 3_000)
MAX_ATTEMPTS = 3
# Interval at which a server writes its entry, and a silent one expires.
HEARTBEAT_INTERVAL_MS = 770
ENTRY_EXPIRY_MS = 3 * HEARTBEAT_INTERVAL_MS
# Servers write their entries for the first time within this time.
MAX_REGISTRATION_DELAY_MS = 300
STORE_CHECK_INTERVAL_MS = 10
STRAGGLER_FACTOR = 7
# How long a failing server takes for an answer.
FAILURE_MS = 1.0


@attrs.frozen
class RequestKind:
    """Requests that use one route.

    Args:
        name: Name of the kind and of its route.
        address: ``(ip, port)`` that its flows are opened to.
        service: Name of the service that serves it.
        work_ms: Mean duration of a request at a server.
        target_ms: Latency target of the route.
        timeout_ms: Time after which a client gives up a request.
        priority: Priority of the route.
        requests_per_flow: Number of requests on a flow.
        pause_ms: Mean pause between an answer and the next request.
    """

    name: str
    address: tuple
    service: str
    work_ms: float
    target_ms: int
    timeout_ms: int
    priority: int = 0
    requests_per_flow: int = 1
    pause_ms: float = 0.0


class SimulatedServer:
    """A server that runs up to ``slots`` requests at a time, in order."""

    def __init__(self, fleet, node, slots, mean_work_ms):
        self._fleet = fleet
        self._node = node
        self._slots = slots
        self.mean_work_ms = mean_work_ms
        # Factor of the work of requests that have a kind.
        self.slowness = 1.0
        self._waiting = collections.deque()
        self._running_count = 0
        self.sequences = {}
        self.served_count = 0
        self.is_failing = False

    def receive(self, data):
        packet = FORMAT.read_from_client(data)
        if packet.is_open:
            sequence = self.sequences.setdefault(
                packet.flow, self._fleet.rng.randrange(1, 1 << 32)
            )
            answer = FORMAT.make(
                packet.flow,
                from_client=False,
                flags=flow_support.OPEN_ANSWER,
                sequence=sequence,
            )
            self._send(answer)
        elif packet.flow not in self.sequences:
            self._send(FORMAT.bounce(data))
        elif packet.data_bytes:
            self._waiting.append(packet)
            self._run_next()

    def _run_next(self):
        if self._running_count >= self._slots or not self._waiting:
            return
        self._running_count += 1
        packet = self._waiting.popleft()
        kind = self._fleet.requests[packet.flow].kind
        mean_work_ms = (
            kind.work_ms * self.slowness if kind else self.mean_work_ms
        )
        work_ms = self._fleet.rng.gammavariate(4, mean_work_ms / 4)
        straggler_share = self._fleet.straggler_share
        if straggler_share and self._fleet.rng.random() < straggler_share:
            work_ms *= STRAGGLER_FACTOR
        if self.is_failing:
            work_ms = FAILURE_MS
        self._fleet.after(work_ms, self._finish, packet)

    def _finish(self, packet):
        if self._node.server is not self:
            return
        self._running_count -= 1
        self.served_count += 1
        answer = FORMAT.make(
            packet.flow,
            from_client=False,
            flags=flow_support.ACKNOWLEDGE,
            sequence=self.sequences[packet.flow] + 1,
            data=b'500' if self.is_failing else b'200',
        )
        self._send(answer)
        self._run_next()

    def _send(self, data):
        self._fleet.after(
            LOCAL_DELAY_MS, self._node.on_server_datagram, self, data
        )


class SimulatedNode:
    """An instance with an agent and a server."""

    def __init__(self, fleet, number, slots, mean_work_ms, service='gate'):
        self._fleet = fleet
        self._slots = slots
        self.mean_work_ms = mean_work_ms
        self.entry = flow_support.make_server(number, service, slots=slots)
        self.ip = self.entry.ip
        self.path = None
        self.server = None
        self.is_reporting = False
        self.knows_batches = True
        self.start_server()
        self.start_agent(is_first_start=True)

    def register(self):
        """Register the server in the store under a new name."""
        now_ms = int(self._fleet.clock.monotonic_ms())
        self.entry = attrs.evolve(
            self.entry,
            name=f'{self.ip}-{now_ms}',
            boot_utc_ms=now_ms,
            sequence=0,
        )
        self.is_reporting = True
        self._fleet.after(
            self._fleet.rng.uniform(0, MAX_REGISTRATION_DELAY_MS),
            self._report,
            self.entry.name,
        )

    def delay_report(self, delay_ms):
        """Let the server write next after a delay."""
        self.is_reporting = False
        self._fleet.after(delay_ms, self.resume_reporting)

    def resume_reporting(self):
        self.is_reporting = True
        self._report(self.entry.name)

    def _report(self, name):
        if self.is_reporting and self.entry.name == name:
            self.entry = attrs.evolve(
                self.entry, sequence=self.entry.sequence + 1
            )
            self._fleet.write_entry(self.entry)
            self._fleet.after(HEARTBEAT_INTERVAL_MS, self._report, name)

    def lose_power(self):
        self.is_reporting = False
        self.stop_agent()
        self.start_server()

    def start_server(self):
        self.server = SimulatedServer(
            self._fleet, self, self._slots, self.mean_work_ms
        )

    def start_agent(self, *, is_first_start=False):
        own = address.Address(self.ip, AGENT_PORT)
        server = address.Address(self.ip, SERVER_PORT)
        fleet = self._fleet
        self.counters = agent_counters.FlowCounters()
        self.path = agent_data_path.FlowDataPath(
            agent_settings.FlowAgentSettings(
                self.ip,
                self.entry.service,
                own,
                own,
                server,
                own,
                '/',
                is_first_start,
                features=fleet.features,
            ),
            fleet.clock,
            random.Random(fleet.rng.random()),
            FORMAT,
            self.counters,
            decision_log.make_decision_log(fleet.clock),
            send_to_server=lambda data, _: fleet.after(
                LOCAL_DELAY_MS, self._deliver_to_server, data
            ),
            send_to_client=fleet.send_to_client,
            send_to_balancer=self._send_to_balancer,
            on_pending=lambda: None,
            call_later=fleet.after if self.knows_batches else None,
        )

    def stop_agent(self):
        self.path = None

    def on_balancer_datagram(self, data, source):
        if not self.knows_batches and isinstance(
            flow_datagrams.decode(data), flow_datagrams.FlowProbeBatch
        ):
            return
        if self.path is not None:
            self.path.on_balancer_datagram(data, source)

    def on_server_datagram(self, server, data):
        if self.path is not None and server is self.server:
            self.path.on_server_datagram(data, None)

    def _deliver_to_server(self, data):
        self.server.receive(data)

    def _send_to_balancer(self, data, destination):
        ip, port = destination
        if port == AGENT_PORT:
            node = self._fleet.nodes_by_ip[ip]
            self._fleet.transmit(
                data, node.on_balancer_datagram, (self.ip, AGENT_PORT)
            )
        else:
            balancer = self._fleet.balancers_by_ip[ip]
            self._fleet.transmit(data, balancer.on_agent_datagram, self.ip)


class SimulatedBalancer:
    """A balancer whose view a test sets."""

    def __init__(self, fleet, number):
        self._fleet = fleet
        self.ip = f'10.1.0.{number + 1}'
        self.path = None
        self.counters = None
        self.sent_bytes = 0
        self._is_read_requested = False
        self.is_paused = False
        self.sync = None
        self.start()

    def start(self):
        fleet = self._fleet
        own = address.Address(self.ip, AGENT_PORT)
        peer = address.Address(self.ip, PEER_PORT)
        probe = address.Address(self.ip, PROBE_PORT)
        self.counters = balancer_counters.FlowCounters()
        self._view = fleet_view.make_fleet_view(fleet.clock, ENTRY_EXPIRY_MS)
        settings = balancer_settings.FlowBalancerSettings(
            self.ip,
            'dakar',
            own,
            peer,
            probe,
            '/ready',
            AGENT_PORT,
            seed_ips=fleet.seed_ips,
            features=fleet.features,
        )
        self.path = balancer_data_path.FlowDataPath(
            settings,
            fleet.clock,
            FORMAT,
            self._view,
            self.counters,
            decision_log.make_decision_log(fleet.clock),
            send_to_client=fleet.send_to_client,
            send_to_agent=self._send_to_agent,
            call_later=fleet.after,
            request_read=self._request_read,
        )
        if fleet.store is not None:
            self._start_sync(settings)
            return
        self.read()
        if self._fleet.is_vouched_for:
            self._view.confirm(
                fleet.clock.monotonic_ms(),
                self._view.read_revision,
                is_complete=True,
            )

    def stop(self):
        self.path = None

    def read(self, revision=10):
        update = fleet_source.FleetUpdate(
            revision,
            True,
            configuration=self._fleet.configuration,
            servers=[
                *(node.entry for node in self._fleet.nodes),
                *self._fleet.odd_entries,
            ],
        )
        self._view.apply_update(update, self._fleet.clock.monotonic_ms())

    def _start_sync(self, settings):
        clock = self._fleet.clock
        rng = random.Random(self._fleet.rng.random())
        self.sync = flow_view_sync.FlowViewSync(
            settings,
            clock,
            rng,
            self._view,
            read_schedule.make_read_schedule(clock, rng, self.ip, self._view),
            self._fleet.store,
            self._pull,
            self.counters,
            self._send_to_peer,
        )
        self.sync.greet()
        self.check_store()

    def check_store(self):
        if self.path is not None and not self.is_paused:
            self.sync.read_if_due()
            self.sync.pull_if_requested()

    def _send_to_peer(self, data, destination):
        self._fleet.after(
            ONE_WAY_DELAY_MS,
            self._fleet.greet_peer,
            data,
            self.ip,
            *destination,
        )

    def on_greeting(self, data, ip):
        if self.path is not None and not self.is_paused:
            self.sync.on_greeting(flow_datagrams.decode(data), ip)

    def _pull(self, ip):
        peer = self._fleet.balancers_by_ip[ip]
        if peer.path is None or peer.is_paused:
            return False
        self._view.apply_difference(
            peer._view.difference_since(
                self._view.configuration.version, self._view.content_revision
            )
        )
        return True

    def _request_read(self, time_ms):
        if self.sync is not None:
            self.sync.request_read(time_ms)
            return
        if not self._is_read_requested:
            self._is_read_requested = True
            self._fleet.after(READ_DELAY_MS, self._read_requested)

    def _read_requested(self):
        self._is_read_requested = False
        self.read(self._view.read_revision)

    def greet(self):
        if self.path is None or self.is_paused:
            return
        if self.sync is not None:
            self.sync.greet()
        else:
            self.read(self._view.read_revision)
        interval_ms = max(
            flow_view_sync.GREETING_INTERVAL_MS,
            1_000
            * len(self._fleet.nodes)
            / flow_view_sync.MAX_AGENT_GREETINGS_PER_S,
        )
        self.path.loads.report_expires_ms = (
            flow_view_sync.GREETINGS_BEFORE_EXPIRY * interval_ms
        )
        greeting = flow_datagrams.encode(
            flow_datagrams.AgentGreeting(self.ip, int(interval_ms))
        )
        for node in self._fleet.nodes:
            self._send_to_agent(greeting, (node.ip, AGENT_PORT))

    def check(self):
        if self.path is None or self.is_paused:
            return
        self.path.opener.check_openings()
        self.path.opener.check_waiting()
        self.path.finder.check_searches()

    def on_client_datagram(self, data):
        if self.path is not None and not self.is_paused:
            self.path.on_client_datagram(data, None)

    def on_agent_datagram(self, data, ip):
        if self.path is not None:
            self.path.on_agent_datagram(flow_datagrams.decode(data), ip)

    def _send_to_agent(self, data, destination):
        self.sent_bytes += len(data)
        node = self._fleet.nodes_by_ip[destination[0]]
        self._fleet.transmit(
            data, node.on_balancer_datagram, (self.ip, PEER_PORT)
        )


@attrs.define
class SimulatedRequest:
    """A request of a client, with the outcome of its attempts.

    Args:
        asked_ms: When the client asked, on the monotonic clock.
        balancer: SimulatedBalancer that the routers send the flow to.
        flow: Flow of the current attempt.
        attempts: Number of attempts.
        answered_ms: When the answer arrived, or None.
        reset_ms: When the first reset arrived, or None.
        failed_ms: When the client gave up, or None.
        sequence: Initial sequence number of the server that the client
            communicates with; None until the flow is open.
        kind: RequestKind, or None.
        following: Number of requests that follow on the flow.
    """

    asked_ms: float
    balancer: SimulatedBalancer
    flow: bytes
    attempts: int = 1
    answered_ms: float | None = None
    reset_ms: float | None = None
    failed_ms: float | None = None
    sequence: int | None = None
    kind: RequestKind | None = None
    following: int = 0

    @property
    def is_finished(self):
        return self.answered_ms is not None or self.failed_ms is not None


class FlowFleetSimulation:
    """A fleet in virtual time.

    Args:
        seed: Seed of all random numbers.
        balancers: Number of balancers.
        servers: Number of servers, each with an agent.
        slots: Requests that a server runs at a time.
        mean_work_ms: Mean duration of a request.
        target_ms: Latency target of the route.
        timeout_ms: Time after which a client gives up a request.
        loss: Share of the datagrams between balancers and agents that is lost.
        has_store: Whether the servers write their entries to a store, from
            which the balancers read their views.
        straggler_share: Share of the requests that take STRAGGLER_FACTOR times
            as long.
        slow_servers: Number of servers that take ``slow_factor`` times as
            long.
        slow_factor: See ``slow_servers``.
        kinds: RequestKind objects, whose routes replace the default ones.
        services: Numbers of servers by service; all of the default service if
            None.
        features: Features of the balancers and agents.

    Attributes:
        store: StoreModel, or None.
        seed_ips: Addresses of balancers that each balancer greets.
        messages: Number of datagrams between balancers and agents, by class.
        is_vouched_for: Whether a balancer that starts learns from a peer that
            its view lists every server.
        lost_classes: Names of the classes of datagrams that are all lost.
        odd_entries: FlowServer objects of another writer.
        requests: SimulatedRequest by flow.
        untrue_resets: SimulatedRequest objects whose open flow was reset while
            its server held it.
        asked: SimulatedRequest objects that have a kind, in order.
    """

    def __init__(
        self,
        seed,
        *,
        balancers,
        servers,
        slots=1,
        mean_work_ms=20.0,
        target_ms=200,
        timeout_ms=5_000,
        loss=0.0,
        has_store=False,
        straggler_share=0.0,
        slow_servers=0,
        slow_factor=1.0,
        kinds=(),
        services=None,
        features=frozenset(),
    ):
        self.loss = loss
        self.store = None
        self.seed_ips = ()
        self.straggler_share = straggler_share
        self.features = features
        self.configuration = _make_configuration(kinds, target_ms, timeout_ms)
        self.asked = []
        self.odd_entries = []
        self.is_vouched_for = False
        self.timeout_ms = timeout_ms
        self.target_ms = target_ms
        self.clock = flow_support.make_clock()
        self.rng = random.Random(seed)
        self.messages = collections.Counter()
        self.lost_classes = set()
        self.requests = {}
        self.untrue_resets = []
        self._events = []
        self._order = itertools.count()
        self._flow_numbers = itertools.count(1)
        self.balancers_by_ip = {}
        self.nodes = [
            SimulatedNode(
                self,
                number,
                slots,
                mean_work_ms * (slow_factor if number < slow_servers else 1),
                service,
            )
            for number, service in enumerate(
                itertools.chain.from_iterable(
                    itertools.repeat(service, count)
                    for service, count in (
                        services or {'gate': servers}
                    ).items()
                )
            )
        ]
        self.nodes_by_ip = {node.ip: node for node in self.nodes}
        if has_store:
            self._add_store()
        self.balancers = [
            SimulatedBalancer(self, number) for number in range(balancers)
        ]
        self.balancers_by_ip.update((b.ip, b) for b in self.balancers)
        self._run_periodically(CHECK_INTERVAL_MS, self._check)
        self._run_periodically(flow_view_sync.GREETING_INTERVAL_MS, self.greet)
        self.greet()
        self.run(10)

    def _add_store(self):
        self.store = view_sync_simulation.StoreModel(self.clock)
        self.store.configuration = flow_support.make_configuration(
            target_ms=self.target_ms, timeout_ms=self.timeout_ms
        )
        self.seed_ips = ('10.1.0.1', '10.1.0.2', '10.1.0.3')
        self._written_ms = {}
        for node in self.nodes:
            node.register()
        self.run(MAX_REGISTRATION_DELAY_MS)
        self._run_periodically(STORE_CHECK_INTERVAL_MS, self._check_store)

    def write_entry(self, entry):
        self.store.write(entry)
        if not self.store.is_down:
            self._written_ms[entry.name] = self.clock.monotonic_ms()

    def greet_peer(self, data, source_ip, ip, _port):
        self.balancers_by_ip[ip].on_greeting(data, source_ip)

    def _check_store(self):
        now_ms = self.clock.monotonic_ms()
        for name in list(self.store.entries):
            if now_ms - self._written_ms[name] >= ENTRY_EXPIRY_MS:
                self.store.remove(name)
        for balancer in self.balancers:
            balancer.check_store()

    def lose_power(self, duration_ms):
        """Stop all instances and start them again with new processes."""
        for node in self.nodes:
            node.lose_power()
        for balancer in self.balancers:
            balancer.stop()
        self.run(duration_ms)
        for node in self.nodes:
            node.start_agent()
            node.register()
        for balancer in self.balancers:
            balancer.start()
        self.greet()

    def after(self, delay_ms, action, *arguments):
        time_ms = self.clock.monotonic_ms() + delay_ms
        heapq.heappush(
            self._events, (time_ms, next(self._order), action, arguments)
        )

    def run(self, duration_ms):
        end_ms = self.clock.monotonic_ms() + duration_ms
        while self._events and self._events[0][0] <= end_ms:
            time_ms, _, action, arguments = heapq.heappop(self._events)
            self.clock.advance(time_ms - self.clock.monotonic_ms())
            action(*arguments)
        self.clock.advance(end_ms - self.clock.monotonic_ms())

    def transmit(self, data, action, *arguments):
        """Deliver a datagram between a balancer and an agent, or lose it."""
        name = type(flow_datagrams.decode(data)).__name__
        self.messages[name] += 1
        if self.rng.random() >= self.loss and name not in self.lost_classes:
            self.after(ONE_WAY_DELAY_MS, action, data, *arguments)

    def is_held(self, request):
        """Whether a server holds the flow that the client has open."""
        return any(
            node.server.sequences.get(request.flow) == request.sequence
            for node in self.nodes
        )

    def greet(self):
        for balancer in self.balancers:
            balancer.greet()

    def _check(self):
        for balancer in self.balancers:
            balancer.check()
        for node in self.nodes:
            if node.path is not None:
                node.path.check_pending()

    def _run_periodically(self, interval_ms, action):
        def run():
            action()
            self.after(interval_ms, run)

        self.after(interval_ms, run)

    # Clients

    def ask(self, request=None, kind=None):
        """Open a flow and send one request on it, or those of a kind."""
        kind = request.kind if request else kind
        flow = flow_support.make_flow(
            next(self._flow_numbers), kind.address if kind else GATE
        )
        balancer = self.rng.choice(self.balancers)
        if request is None:
            request = SimulatedRequest(
                self.clock.monotonic_ms(), balancer, flow, kind=kind
            )
            if kind is not None:
                request.following = kind.requests_per_flow - 1
                self.asked.append(request)
            timeout_ms = kind.timeout_ms if kind else self.timeout_ms
            self.after(timeout_ms, self._give_up, request, request.asked_ms)
        request.flow = flow
        request.balancer = balancer
        request.sequence = None
        self.requests[flow] = request
        for delay_ms in COPY_DELAYS_MS:
            self.after(delay_ms, self._send_copy, request, flow, delay_ms)
        self.after(OPEN_TIMEOUT_MS, self._give_up_opening, request, flow)
        return request

    def send_again(self, request):
        """Send a further request on the open flow of an answered one."""
        request.asked_ms = self.clock.monotonic_ms()
        request.answered_ms = None
        self.after(self.timeout_ms, self._give_up, request, request.asked_ms)
        self._send_data(request, request.flow)

    def _follow(self, answered):
        """Send the next request on the open flow of an answered one."""
        request = SimulatedRequest(
            self.clock.monotonic_ms(),
            answered.balancer,
            answered.flow,
            sequence=answered.sequence,
            kind=answered.kind,
            following=answered.following - 1,
        )
        self.asked.append(request)
        self.requests[request.flow] = request
        self.after(
            request.kind.timeout_ms, self._give_up, request, request.asked_ms
        )
        self._send_data(request, request.flow)

    def send_to_client(self, data, _address):
        self.after(CLIENT_DELAY_MS, self._on_client_datagram, data)

    def _send_copy(self, request, flow, age_ms):
        if (
            request.flow is flow
            and request.sequence is None
            and not request.is_finished
        ):
            data = FORMAT.make(
                flow, flags=flow_support.OPEN, acknowledged=age_ms
            )
            self._to_balancer(request, data)

    def _send_data(self, request, flow):
        data = FORMAT.make(
            flow,
            flags=flow_support.ACKNOWLEDGE,
            acknowledged=request.sequence + 1,
            sequence=int(request.asked_ms),
            data=b'x' * 200,
        )
        for delay_ms in (0, *RETRANSMISSION_DELAYS_MS):
            self.after(delay_ms, self._send_unanswered, request, flow, data)

    def _send_unanswered(self, request, flow, data):
        if request.flow is flow and not request.is_finished:
            self._to_balancer(request, data)

    def _to_balancer(self, request, data):
        self.after(CLIENT_DELAY_MS, request.balancer.on_client_datagram, data)

    def _on_client_datagram(self, data):
        packet = FORMAT.read_from_server(data)
        request = self.requests.get(packet.flow)
        if request is None or request.flow != packet.flow:
            return
        now_ms = self.clock.monotonic_ms()
        if request.is_finished and not packet.is_reset:
            return
        if packet.is_reset:
            if request.sequence is not None and self.is_held(request):
                self.untrue_resets.append(request)
            if request.reset_ms is None:
                request.reset_ms = now_ms
            self._try_again(request)
        elif packet.is_open_answer:
            if request.sequence is None:
                request.sequence = packet.sequence
                self._send_data(request, request.flow)
        elif packet.data_bytes:
            request.answered_ms = now_ms
            if request.following:
                pause_ms = self.rng.expovariate(1 / request.kind.pause_ms)
                self.after(pause_ms, self._follow, request)

    def _give_up(self, request, asked_ms):
        if request.asked_ms == asked_ms and not request.is_finished:
            request.failed_ms = self.clock.monotonic_ms()

    def _give_up_opening(self, request, flow):
        if request.flow is flow and request.sequence is None:
            self._try_again(request)

    def _try_again(self, request):
        if request.is_finished:
            return
        if request.attempts >= MAX_ATTEMPTS:
            request.failed_ms = self.clock.monotonic_ms()
            return
        request.attempts += 1
        self.ask(request)


def _make_configuration(kinds, target_ms, timeout_ms):
    if not kinds:
        return flow_support.make_configuration(
            target_ms=target_ms, timeout_ms=timeout_ms
        )
    routes = {
        kind.address: flow_route.FlowRoute(
            kind.name,
            kind.address,
            ((kind.service, 1),),
            timeout_ms=kind.timeout_ms,
            target_ms=kind.target_ms,
            priority=kind.priority,
        )
        for kind in kinds
    }
    return flow_route.FlowConfiguration(1, routes, 15_000)
