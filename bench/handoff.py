"""Measures handoffs, answer times and redirects while an agent drains.

Three agents run the production data path, connections, handoff, peer server,
peer pool and UDP sockets on loopback. They share one process, and so one core,
with the callers. A request takes no time at an agent. The callers' side
follows location hints as a balancer does. Run from the root of the
repository::

    PYTHONPATH=tests python bench/handoff.py
"""

import collections
import random
import statistics
import time
import types

import gevent
import handoff_simulation

from kingcupport.common import address
from kingcupport.common import clock as clock_module
from kingcupport.control import peer_pool
from kingcupport.control import peer_server
from kingcupport.requests import answer as answer_module
from kingcupport.requests import request_runner
from kingcupport.wire import datagram_socket
from kingcupport.wire import datagrams
from kingcupport.wire import errors
from kingcupport.wire import packet as packet_module

AGENT_NAMES = ('a', 'b', 'c')
FIRST_PORT = 25_101
CALLERS_PORT = 25_100
IDLE_CONNECTION_COUNT = 3_000
BUSY_CONNECTION_COUNTS = (0, 30, 150)
WARM_UP_S = 2
OBSERVATION_S = 2
TICK_INTERVAL_S = 0.02


class ImmediateRunner(request_runner.RequestRunner):
    """Answers each request immediately."""

    def __init__(self, simulation, agent):
        del simulation, agent

    def submit(self, request):
        """Return an answer with a short body."""
        return answer_module.Answer(200, (), b'x' * 100)


class LoopbackFleet(handoff_simulation.Simulation):
    """Agents and callers of the simulation, connected by real sockets."""

    def __init__(self, names):
        super().__init__((), make_runner=ImmediateRunner)
        self.clock = clock_module.make_system_clock()
        self.addresses = {
            name: address.Address('127.0.0.1', FIRST_PORT + number)
            for number, name in enumerate(names)
        }
        self.publish(names)
        callers_address = address.Address('127.0.0.1', CALLERS_PORT)
        self.return_address = str(callers_address)
        self.callers_by_connection_id = {}
        self.hints = {}
        self.counts = collections.Counter()
        self.sockets = {}
        self.socket = datagram_socket.DatagramSocket(callers_address, print)
        self.tasks = [
            gevent.spawn(self.socket.receive_forever, self._on_datagram),
            gevent.spawn(self._tick_forever),
        ]
        for name in names:
            self._start(name)

    def _start(self, name):
        agent = handoff_simulation.SimulatedAgent(self, name, self.fleet)
        self.agents[name] = agent
        agent_address = self.addresses[name]
        self.sockets[name] = datagram_socket.DatagramSocket(
            agent_address, print
        )
        server = peer_server.PeerServer(
            agent_address,
            agent.handlers,
            name=name,
            read_revision=lambda: agent.registry.fleet.revision,
            counts=self.counts,
        )
        server.start()
        self.tasks.append(
            gevent.spawn(
                self.sockets[name].receive_forever, agent.data_path.on_data
            )
        )

    def make_caller(self, agent):
        """Return a PeerPool for an agent."""
        registry = types.SimpleNamespace(process_address=self.addresses.get)
        return peer_pool.PeerPool(registry, self.clock, self.counts)

    def carry(self, agent, data, destination):
        """Send a datagram from an agent."""
        self.sockets[agent.name].send(data, destination)

    def spray(self, packet_data):
        """Send a caller's packet to its agent, as a balancer does."""
        connection_id = packet_module.decode_packet(packet_data).connection_id
        name = self.hints.get(connection_id)
        if name is None:
            # The same fleet is in force at all agents, so any can be asked.
            name = self.agents['b'].data_path.owner(connection_id)
        self.counts['packets'] += 1
        data = datagrams.encode_envelope(
            handoff_simulation.SERVICE,
            self.fleet.revision,
            self.return_address,
            [],
            packet_data,
        )
        self.socket.send(data, self.addresses[name].as_tuple())

    def _on_datagram(self, data, source):
        try:
            packet = packet_module.decode_packet(data)
        except errors.WireError:
            hint = datagrams.decode_datagram(data)
            self.hints[hint.connection_id] = hint.agent_name
            return
        caller = self.callers_by_connection_id.get(packet.connection_id)
        if caller is not None:
            caller.on_packet(packet)

    def _tick_forever(self):
        while True:
            gevent.sleep(TICK_INTERVAL_S)
            for caller in self.callers:
                if caller.output.buffered_bytes or caller.stream_id is None:
                    caller.tick()

    def open_many(self, count):
        """Open connections, wait until all are open and return them."""
        opened = []
        for number in range(count):
            caller = self.open()
            self.callers_by_connection_id[caller.connection_id] = caller
            opened.append(caller)
            if number % 50 == 0:
                gevent.sleep(0.005)
        while any(c.stream_id is None for c in opened):
            gevent.sleep(0.01)
        return opened

    def passed_on(self):
        """Return the number of packets that the agents passed on."""
        return sum(a.counters.passed_on for a in self.agents.values())


def send_requests(caller, answer_times, stop):
    """Send requests in sequence; record the start and duration of each."""
    answered = 0
    while not stop:
        start = time.monotonic()
        caller.request()
        answered += 1
        while caller.received.count(b'HTTP/1.1 200') < answered:
            gevent.sleep(0.001)
            if caller.was_reset or stop:
                return
        answer_times.append((start, 1000 * (time.monotonic() - start)))
        caller.received.clear()
        answered = 0
        gevent.sleep(0.05)


def measure(fleet, busy_count):
    """Drain agent ``a``, print the effect on callers, and reinstate it."""
    answer_times, stop = [], []
    busy_callers = fleet.rng.sample(fleet.callers, busy_count)
    tasks = [
        gevent.spawn(send_requests, caller, answer_times, stop)
        for caller in busy_callers
    ]
    gevent.sleep(WARM_UP_S)
    leaving = fleet.agents['a']
    before = leaving.counters.handed_over
    packets, passed_on = fleet.counts['packets'], fleet.passed_on()
    fleet.publish(AGENT_NAMES[1:])
    leaving.data_path.draining = True
    start = time.monotonic()
    left = leaving.mover.move_all(fleet.clock.monotonic_ms() + 30_000)
    elapsed_s = time.monotonic() - start
    moved = leaving.counters.handed_over - before
    gevent.sleep(OBSERVATION_S)
    stop.append(True)
    gevent.joinall(tasks)
    packets = fleet.counts['packets'] - packets
    passed_on = fleet.passed_on() - passed_on
    steady_times_ms = [
        answer_ms for sent_s, answer_ms in answer_times if sent_s < start - 0.2
    ]
    handoff_times_ms = [
        answer_ms
        for sent_s, answer_ms in answer_times
        if start - 0.2 <= sent_s < start + elapsed_s
    ]
    print(
        f'busy={busy_count} handoffs={moved} left={left} '
        f'elapsed_ms={1000 * elapsed_s:.0f} per_s={moved / elapsed_s:.0f} '
        f'packets_after_note={packets} redirected={passed_on} '
        f'({100 * passed_on / max(1, packets):.1f} %) '
        f'resets={sum(c.was_reset for c in fleet.callers)}'
    )
    if answer_times:
        print(
            f'  answer_ms steady '
            f'median={statistics.median(steady_times_ms):.1f} '
            f'max={max(steady_times_ms):.1f}; in the handoff '
            f'median={statistics.median(handoff_times_ms or [0]):.1f} '
            f'max={max(handoff_times_ms or [0]):.1f} '
            f'({len(handoff_times_ms)} requests)'
        )
    leaving.data_path.draining = False
    fleet.publish(AGENT_NAMES)
    for name in AGENT_NAMES[1:]:
        agent = fleet.agents[name]
        for owned in agent.table.connections():
            if agent.data_path.owner(owned.identity.connection_id) == 'a':
                agent.mover.move_to(owned, 'a')


def main():
    """Run the measurement with an increasing number of busy callers."""
    random.seed(1)
    fleet = LoopbackFleet(AGENT_NAMES)
    fleet.open_many(IDLE_CONNECTION_COUNT)
    for busy_count in BUSY_CONNECTION_COUNTS:
        measure(fleet, busy_count)


if __name__ == '__main__':
    main()
