"""Simulates the agents of one service and their callers on a manual clock.

The production data path, connections and handoffs run in gevent tasks. The
simulation carries packets and calls between agents and loses, delays and
duplicates them with a seeded random.Random, so that runs are reproducible.
"""

import heapq
import itertools
import random
import types

import gevent
from gevent import event
import h11

from kingcupport.agent import connection_factory
from kingcupport.agent import connection_mover
from kingcupport.agent import data_path
from kingcupport.agent import data_path_counters
from kingcupport.agent import placement
from kingcupport.agent import settings
from kingcupport.common import address
from kingcupport.common import clock as clock_module
from kingcupport.connections import connection_table
from kingcupport.connections import handed_over_requests
from kingcupport.connections import handoff_receiver
from kingcupport.connections import handoff_sender
from kingcupport.connections import input_stream
from kingcupport.connections import output_stream
from kingcupport.connections import request_ids
from kingcupport.control import peer_caller
from kingcupport.fleet import backend_server
from kingcupport.fleet import fleet as fleet_module
from kingcupport.fleet import service as service_module
from kingcupport.observability import audit_trail
from kingcupport.requests import answer as answer_module
from kingcupport.requests import peer_loads
from kingcupport.requests import request_runner
from kingcupport.routing import suspects
from kingcupport.wire import datagrams
from kingcupport.wire import message_codec
from kingcupport.wire import packet as packet_module
from kingcupport.wire import packet_format
from kingcupport.wire import work_messages

SERVICE = 'gate'
SERVICE_ADDRESS = '10.0.0.1:80'
RETURN_ADDRESS = '10.0.2.1:7000'
BALANCER_ADDRESS = '10.0.3.1:7001'
CALL_LATENCY_MS = 1
# Iterations of the event loop after which all tasks are blocked again. The
# longest chain of tasks is a call, its handler, its caller and a connection.
EVENT_LOOP_ROUNDS = 12

_Kind = packet_module.PacketKind


class SimulatedClock(clock_module.Clock):
    """Blocks tasks until the test advances time past their deadline."""

    def __init__(self):
        self._now_ms = 1_000_000.0
        self._events = []
        self._sequence = itertools.count()
        self.after_step = lambda: None

    def monotonic_ms(self):
        return self._now_ms

    def utc_ms(self):
        return int(self._now_ms)

    def sleep_until(self, deadline_ms):
        woken = event.Event()
        self.call_at(deadline_ms, woken.set)
        woken.wait()

    def call_at(self, time_ms, function):
        """Schedule a function at a point of simulated time."""
        entry = (time_ms, next(self._sequence), function)
        heapq.heappush(self._events, entry)

    def advance(self, duration_ms, step_ms=50):
        """Advance the clock and call due functions in order of time."""
        end_ms = self._now_ms + duration_ms
        while self._now_ms < end_ms:
            target_ms = min(end_ms, self._now_ms + step_ms)
            if self._events:
                target_ms = min(target_ms, self._events[0][0])
            self._now_ms = max(self._now_ms, target_ms)
            while self._events and self._events[0][0] <= self._now_ms:
                heapq.heappop(self._events)[2]()
            self.after_step()


class CountingRunner(request_runner.RequestRunner):
    """Runs each request for a random time and records the runs."""

    def __init__(self, simulation, agent):
        self._simulation = simulation
        self._agent = agent

    def submit(self, request):
        simulation = self._simulation
        if self._agent.data_path.draining:
            # The scheduler refuses queued requests in a drain likewise.
            return answer_module.make_refusal(
                answer_module.Outcome.NOT_RUN, 'draining'
            )
        simulation.runs.setdefault(request.target, []).append(
            (request.method, self._agent.name)
        )
        clock = simulation.clock
        delay_ms = simulation.rng.choice((0, 0, 5, 100, 700, 3000))
        if delay_ms:
            clock.sleep_until(clock.monotonic_ms() + delay_ms)
        body = f'{request.target} '.encode() * simulation.rng.choice((1, 400))
        return answer_module.Answer(200, (), body)


class SimulatedAgent:
    """The production components of an agent that handle connections."""

    def __init__(self, simulation, name, fleet, max_connections=20_000):
        self.name = name
        self.alive = True
        self.simulation = simulation
        clock = simulation.clock
        rng = simulation.rng
        self.registry = types.SimpleNamespace(fleet=fleet)
        self.counters = data_path_counters.DataPathCounters()
        self.table = connection_table.ConnectionTable(clock, max_connections)
        self.loads = peer_loads.PeerLoads(clock, lambda: len(self.table))
        self.lent_runs = handed_over_requests.HandedOverRequests(
            name, self.registry, clock
        )
        ids = request_ids.make_id_source(f'{name}-{rng.getrandbits(32)}')
        caller = simulation.make_caller(self)
        self.factory = connection_factory.ConnectionFactory(
            make_settings(name),
            self.registry,
            caller,
            clock,
            rng,
            self.table,
            self.counters,
            lambda packet: self.data_path.send_packet(packet),
            ids,
        )
        self.factory.runner = simulation.make_runner(self)
        self.suspects = suspects.Suspects(clock, 2_000)
        self.data_path = data_path.DataPath(
            name=name,
            service=SERVICE,
            fleet=fleet,
            packet_format=packet_format.make_packet_format(),
            send=lambda data, to: simulation.carry(self, data, to),
            table=self.table,
            placement=placement.OpenPlacement(
                name,
                2,
                lambda: len(self.table),
                self.loads.expected_mean_connections,
            ),
            accept=self.factory.accept,
            suspects=self.suspects,
            on_datagram=lambda datagram, source: None,
            on_revision=lambda revision, source: None,
            counters=self.counters,
        )
        self.data_path.started = True
        self.receiver = handoff_receiver.HandoffReceiver(
            name,
            self.registry,
            clock,
            self.factory.adopt,
            lambda: 'draining' if self.data_path.draining else '',
        )
        self.sender = handoff_sender.HandoffSender(
            name,
            self.registry,
            caller,
            clock,
            self.table,
            self.lent_runs,
            ids,
        )
        self.mover = connection_mover.ConnectionMover(
            self.data_path,
            self.table,
            self.sender,
            clock,
            self.loads,
            self.counters,
            audit_trail.AuditTrail(clock),
        )
        self.handlers = {
            **self.receiver.handlers(),
            **self.lent_runs.handlers(),
            work_messages.LoadReport: self._on_report,
        }

    def set_fleet(self, fleet):
        self.registry.fleet = fleet
        self.data_path.set_fleet(fleet)

    def make_report(self):
        return work_messages.LoadReport(
            self.name, self.registry.fleet.revision, len(self.table), 0, 0
        )

    def _on_report(self, message, peer):
        self.loads.record_report(message)
        return self.make_report()

    def kill(self):
        """Simulate the death of the process; nothing is sent or received."""
        self.alive = False
        for owned in self.table.connections():
            owned._cancel_pending()
            owned.terminate()


class _SimulatedPeerCaller(peer_caller.PeerCaller):
    """Calls other agents with the faults that the simulation selects."""

    def __init__(self, simulation, agent):
        self._simulation = simulation
        self._agent = agent

    def call(self, peer, message, deadline_ms):
        simulation = self._simulation
        clock = simulation.clock
        fault = simulation.next_call_fault()
        target = simulation.agents.get(peer)
        link = frozenset((self._agent.name, peer))
        if target is None or not target.alive or fault == 'refused':
            raise peer_caller.PeerError(
                'cannot connect', step='connect', peer=peer, sent=False
            )
        if link in simulation.cut_links:
            fault = 'lost_request'
        data = message_codec.encode_message(message)
        reply = event.AsyncResult()
        now_ms = clock.monotonic_ms()

        def serve(answers=True):
            if not target.alive:
                return
            if target.name in simulation.paused:
                simulation.deferred.append((target.name, serve))
                return
            received = message_codec.decode_message(data)
            handler = target.handlers[type(received)]
            result = message_codec.encode_message(
                handler(received, self._agent.name)
            )
            if answers and fault != 'lost_reply':
                reply.set(message_codec.decode_message(result))

        if fault in ('ok', 'lost_reply', 'duplicated'):
            clock.call_at(now_ms + CALL_LATENCY_MS, serve)
        if fault == 'late':
            clock.call_at(deadline_ms + 300, serve)
        if fault == 'duplicated':
            clock.call_at(now_ms + 2_500, lambda: serve(answers=False))
        clock.call_at(deadline_ms, lambda: reply.set(None))
        result = reply.get()
        if result is None:
            raise peer_caller.PeerError('no reply', step='call', peer=peer)
        return result


class SimulatedCaller:
    """A caller's connection, which uses the production streams."""

    def __init__(self, simulation, connection_id):
        self.simulation = simulation
        self.connection_id = connection_id
        self.stream_id = None
        self.was_reset = False
        self.received = bytearray()
        self.sent = []
        self.input = input_stream.InputStream()
        self.output = output_stream.OutputStream(
            self._send_segment, simulation.clock
        )
        self.send(_Kind.OPEN)

    def request(self, method='GET', body_bytes=0):
        target = f'/{self.connection_id}/{len(self.sent)}'
        self.sent.append((method, target))
        self.output.write(
            f'{method} {target} HTTP/1.1\r\nHost: gate\r\n'
            f'Content-Length: {body_bytes}\r\n\r\n'.encode()
            + b'x' * body_bytes
        )

    def _send_segment(self, offset, payload, is_end):
        if self.stream_id is not None:
            self.send(_Kind.CLOSE if is_end else _Kind.DATA, offset, payload)

    def send(self, kind, offset=0, payload=b''):
        packet = packet_module.Packet(
            int(kind),
            self.connection_id,
            self.stream_id or 0,
            offset,
            self.input.next_offset,
            payload,
            '10.9.9.9:1234',
            SERVICE_ADDRESS,
            self.simulation.return_address,
        )
        self.simulation.spray(packet_module.encode_packet(packet))

    def tick(self):
        """Retransmit what is due, as the fabric does."""
        if self.was_reset:
            return
        if self.stream_id is None:
            self.send(_Kind.OPEN)
        elif not self.output.retransmit_if_due():
            self.was_reset = True

    def on_packet(self, packet):
        if packet.kind == _Kind.OPENED and self.stream_id is None:
            self.stream_id = packet.stream_id
            self.output._next = self.output._base
            self.output.write(b'')
        if packet.stream_id != self.stream_id or self.was_reset:
            return
        if packet.kind == _Kind.RESET:
            self.was_reset = True
            return
        if packet.kind == _Kind.OPENED:
            self.send(_Kind.ACK, self.output.end)
            return
        self.output.on_ack(packet.ack)
        if packet.kind == _Kind.DATA:
            self.received += self.input.on_segment(
                packet.offset, packet.payload
            )
            self.send(_Kind.ACK, self.output.end)
        elif packet.kind == _Kind.CLOSE:
            self.input.on_end(packet.offset)
            self.send(_Kind.ACK, self.output.end)

    def answers(self):
        """Return status and body of each complete answer, and the rest."""
        client = bytes(self.received)
        answers = []
        for method, _ in self.sent:
            if not client:
                break
            http = h11.Connection(h11.CLIENT)
            http.send(
                h11.Request(method=method, target='/', headers=[('Host', '-')])
            )
            http.send(h11.EndOfMessage())
            http.receive_data(client)
            head, body = None, b''
            while True:
                next_event = http.next_event()
                if next_event is h11.NEED_DATA:
                    return answers, client
                if isinstance(next_event, h11.Response):
                    head = next_event
                elif isinstance(next_event, h11.Data):
                    body += bytes(next_event.data)
                elif isinstance(next_event, h11.EndOfMessage):
                    break
            answers.append((head.status_code, body))
            client = http.trailing_data[0]
        return answers, client


class Simulation:
    """Agents, callers, links and the clock.

    Args:
        names: Names of the agents.
        seed: Seed of all randomness.
        make_runner: Called with the simulation and an agent; returns its
            RequestRunner.
    """

    def __init__(self, names, seed=1, make_runner=CountingRunner):
        self.rng = random.Random(seed)
        self.clock = SimulatedClock()
        self.clock.after_step = self._after_step
        self._make_runner = make_runner
        self.return_address = RETURN_ADDRESS
        self.loss_percent = 0
        # Faults of the next calls between agents, in order.
        self.fates = []
        self.cut_links = set()
        self.paused = set()
        self.deferred = []
        self.runs = {}
        self.callers = []
        self.agents = {}
        self.killed = set()
        self.addresses = {}
        self.fleet = None
        self.publish(names)
        for name in names:
            self.agents[name] = SimulatedAgent(self, name, self.fleet)

    def make_caller(self, agent):
        return _SimulatedPeerCaller(self, agent)

    def make_runner(self, agent):
        return self._make_runner(self, agent)

    def publish(self, names):
        """Put a fleet of the named agents in force on all agents."""
        revision = self.fleet.revision + 1 if self.fleet else 1
        for name in names:
            self.addresses.setdefault(
                name, address.Address('10.0.1.1', 9000 + len(self.addresses))
            )
        self.fleet = fleet_module.Fleet(
            revision,
            f'{revision:032x}',
            {
                SERVICE: service_module.Service(
                    SERVICE, address.parse_address(SERVICE_ADDRESS)
                )
            },
            {},
            {
                name: backend_server.BackendServer(
                    name,
                    SERVICE,
                    self.addresses[name],
                    address.Address('10.0.1.1', 8000),
                    'dakar',
                )
                for name in names
            },
        )
        for agent in self.agents.values():
            agent.set_fleet(self.fleet)

    def next_call_fault(self):
        return self.fates.pop(0) if self.fates else 'ok'

    def usable_agents(self):
        return [
            a
            for a in self.agents.values()
            if a.alive and a.name in self.fleet.backend_servers
        ]

    def spray(self, packet_data):
        """Send a caller's packet to a random agent.

        A balancer that routes by an older revision may do so.
        """
        data = datagrams.encode_envelope(
            SERVICE, self.fleet.revision, BALANCER_ADDRESS, [], packet_data
        )
        agent = self.rng.choice(self.usable_agents())
        self._deliver(lambda: self._to_agent(agent, data))

    def carry(self, agent, data, destination):
        """Transmit a datagram that an agent sent."""
        if not agent.alive:
            return
        if agent.name in self.paused:
            self.deferred.append(
                (agent.name, lambda: self.carry(agent, data, destination))
            )
            return
        if destination == address.parse_address(RETURN_ADDRESS).as_tuple():
            self._deliver(lambda: self._to_caller(data))
            return
        names = [
            n for n, a in self.addresses.items() if a.as_tuple() == destination
        ]
        for name in names:
            if name in self.agents:
                target = self.agents[name]
                self._deliver(lambda t=target: self._to_agent(t, data))
                if not target.alive:
                    # Simulates the ICMP error for a closed port.
                    agent.suspects.add(name)

    def _deliver(self, function):
        copies = 1
        if self.rng.randrange(100) < self.loss_percent:
            copies = self.rng.choice((0, 0, 2))
        for _ in range(copies):
            delay_ms = self.rng.choice((0.5, 0.5, 0.5, 3))
            self.clock.call_at(self.clock.monotonic_ms() + delay_ms, function)

    def _to_agent(self, agent, data):
        if agent.name in self.paused:
            self.deferred.append(
                (agent.name, lambda: self._to_agent(agent, data))
            )
        elif agent.alive:
            agent.data_path.on_data(data, ('10.0.3.1', 7001))

    def _to_caller(self, data):
        packet = packet_module.decode_packet(data)
        for caller in self.callers:
            if caller.connection_id == packet.connection_id:
                caller.on_packet(packet)

    def resume_agent(self, name):
        self.paused.discard(name)
        ready = [f for n, f in self.deferred if n == name]
        self.deferred = [(n, f) for n, f in self.deferred if n != name]
        for function in ready:
            function()

    def open(self):
        caller = SimulatedCaller(self, self.rng.getrandbits(64))
        self.callers.append(caller)
        return caller

    def settle(self):
        """Run the event loop until all tasks are blocked."""
        for _ in range(EVENT_LOOP_ROUNDS):
            gevent.sleep(0)

    def advance(self, duration_ms):
        """Advance the clock; callers retransmit every 200 ms."""
        end_ms = self.clock.monotonic_ms() + duration_ms
        # Half a microsecond allows for rounding errors of float addition.
        while self.clock.monotonic_ms() < end_ms - 0.0005:
            for caller in self.callers:
                caller.tick()
            left_ms = end_ms - self.clock.monotonic_ms()
            self.clock.advance(min(200, left_ms))

    def _after_step(self):
        now_ms = self.clock.monotonic_ms()
        for agent in self.agents.values():
            for owned in agent.table.connections():
                # The timers of connections use real time, which hardly passes
                # in a simulation, so due connections are woken explicitly.
                if owned._seconds_to_next_deadline() == 0 and now_ms:
                    owned._wake.set()
        self.settle()

    def owners(self, caller):
        """Return the names of the active owners of a caller's connection."""
        return [
            agent.name
            for agent in self.agents.values()
            if agent.alive
            for owned in agent.table.connections()
            if owned.identity.connection_id == caller.connection_id
            and owned.identity.stream_id == caller.stream_id
            and not owned.frozen
            and not owned._ended
        ]

    def hand_over(self, sender_name, receiver_name, connection_id):
        """Start a handoff in a task if the sender owns the connection."""
        sender = self.agents[sender_name]
        owned = sender.table.get(connection_id)
        if owned is None or owned.frozen or not sender.alive:
            return
        gevent.spawn(sender.mover.move_to, owned, receiver_name)
        self.settle()


def make_settings(name):
    """Return AgentSettings for an agent that opens no sockets."""
    placeholder = address.Address('10.0.1.1', 9000)
    return settings.AgentSettings(
        name,
        SERVICE,
        'dakar',
        placeholder,
        placeholder,
        placeholder,
        placeholder,
    )
