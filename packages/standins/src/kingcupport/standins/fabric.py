"""Stand-in for the fabric that distributes packets across balancers."""

import collections
import functools

import attrs
import gevent
from gevent import server as gevent_server
from gevent import socket

from kingcupport.common import address as address_module
from kingcupport.standins import fabric_connection
from kingcupport.standins import fault_injector
from kingcupport.wire import datagram_socket
from kingcupport.wire import errors as wire_errors
from kingcupport.wire import packet as packet_module
from kingcupport.wire import packet_format

LISTEN_BACKLOG = 4096
# A balancer whose port is closed gets no packets for this time, as in a
# fabric with health checks of its next hops. Without it, one dead balancer of
# three loses a third of all packets until it is removed from the fleet.
UNREACHABLE_AVOID_MS = 1_000
TICK_INTERVAL_MS = 20
MAX_ENDED_CONNECTIONS = 65_536
_KIND = packet_module.PacketKind
_KINDS_ANSWERED_AFTER_END = frozenset((_KIND.OPENED, _KIND.DATA, _KIND.CLOSE))


@attrs.frozen
class _EndedConnection:
    """State kept after a connection's end to answer retransmissions.

    Args:
        stream_id: The agent's stream identifier.
        ack: Next offset expected, or None if the connection was reset.
    """

    stream_id: int
    ack: int | None


class Fabric:
    """Accepts TCP connections and exchanges their data as packets.

    Args:
        return_address: Address of the UDP port that receives the answers.
        clock: Clock.
        random: ``random.Random`` for connection identifiers and the choice of
            balancers. Fabrics with equal seeds would use equal identifiers.
        fault_random: ``random.Random`` for the injected faults.
    """

    def __init__(self, return_address, clock, random, fault_random):
        self._clock = clock
        self._random = random
        self._format = packet_format.make_packet_format()
        self._balancers = []
        self._listeners = {}
        self._connections = {}
        self._connections_with_deadline = {}
        self._ended = collections.OrderedDict()
        self.counts = collections.Counter()
        self._injector = fault_injector.FaultInjector(
            fault_random, self.counts
        )
        self._avoided_until_ms = {}
        self.return_address = return_address
        self._return_socket = datagram_socket.DatagramSocket(
            return_address, self._on_unreachable
        )
        self._tasks = []

    @property
    def faults(self):
        """Active FabricFaults; may be replaced at any time."""
        return self._injector.faults

    @faults.setter
    def faults(self, faults):
        self._injector.faults = faults

    @property
    def connection_count(self):
        """Number of open connections."""
        return len(self._connections)

    def connections(self):
        """Return the open FabricConnections as a list."""
        return list(self._connections.values())

    @property
    def balancer_count(self):
        """Number of balancers that receive packets."""
        return len(self._balancers)

    @property
    def service_count(self):
        """Number of services that the fabric listens for."""
        return len(self._listeners)

    def set_balancers(self, addresses):
        """Replace the balancers that receive packets."""
        self._avoided_until_ms.clear()
        self._balancers = sorted(addresses)

    def set_services(self, addresses):
        """Listen on exactly these addresses.

        Existing connections are not affected.

        Raises:
            OSError: An address cannot be bound.
        """
        for address in set(self._listeners) - set(addresses):
            self._listeners.pop(address).close()
        for address in set(addresses) - set(self._listeners):
            listener = gevent_server.StreamServer(
                address.as_tuple(),
                functools.partial(self._serve_connection, str(address)),
                backlog=LISTEN_BACKLOG,
            )
            listener.start()
            self._listeners[address] = listener

    def start(self):
        """Start the background tasks for answers and retransmissions."""
        self._tasks = [
            gevent.spawn(
                self._return_socket.receive_forever, self._on_datagram
            ),
            gevent.spawn(self._tick),
        ]

    def stop(self):
        """Stop listening and reset all open connections."""
        self.set_services(())
        for connection in list(self._connections.values()):
            connection.end(fabric_connection.EndReason.FABRIC_STOPPED)
        gevent.killall(self._tasks)
        self._return_socket.close()

    def _serve_connection(self, service_address, sock, caller):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        caller_address = address_module.Address(*caller[:2])
        connection = fabric_connection.FabricConnection(
            sock,
            self._random.getrandbits(64),
            (str(caller_address), service_address, str(self.return_address)),
            self._send_packet,
            self._clock,
            self._track_deadline,
        )
        self.counts['accepted'] += 1
        self._connections[connection.connection_id] = connection
        try:
            connection.run()
        finally:
            self._record_end(connection)

    def _record_end(self, connection):
        reason = connection.end_reason
        self.counts[reason.value] += 1
        del self._connections[connection.connection_id]
        self._connections_with_deadline.pop(connection.connection_id, None)
        closed = reason == fabric_connection.EndReason.CLOSED
        self._ended[connection.connection_id] = _EndedConnection(
            connection.stream_id, connection.next_offset if closed else None
        )
        if len(self._ended) > MAX_ENDED_CONNECTIONS:
            self._ended.popitem(last=False)

    def _track_deadline(self, connection):
        if connection.has_deadline:
            self._connections_with_deadline[connection.connection_id] = (
                connection
            )

    def _tick(self):
        while True:
            now_ms = self._clock.monotonic_ms()
            for connection in list(self._connections_with_deadline.values()):
                if connection.has_deadline:
                    connection.tick()
                else:
                    self._connections_with_deadline.pop(
                        connection.connection_id, None
                    )
            self._clock.sleep_until(now_ms + TICK_INTERVAL_MS)

    def _send_packet(self, packet):
        self.counts['packets_sent'] += 1
        if not self._balancers:
            self.counts['no_balancer'] += 1
            return
        address = self._choose_balancer()
        if str(address) in self.faults.cut_balancers:
            self.counts['cut'] += 1
            return
        deliver = functools.partial(self._send_datagram, address)
        self._injector.pass_on(deliver, self._format.encode(packet))

    def _choose_balancer(self):
        if not self._avoided_until_ms:
            return self._random.choice(self._balancers)
        now_ms = self._clock.monotonic_ms()
        usable = [
            balancer
            for balancer in self._balancers
            if self._avoided_until_ms.get(balancer, 0) <= now_ms
        ]
        return self._random.choice(usable or self._balancers)

    def _on_unreachable(self, destination):
        self.counts['unreachable'] += 1
        balancer = address_module.Address(*destination)
        until_ms = self._clock.monotonic_ms() + UNREACHABLE_AVOID_MS
        self._avoided_until_ms[balancer] = until_ms

    def _send_datagram(self, address, data):
        self._return_socket.send(data, address.as_tuple())

    def _on_datagram(self, data, source):
        self._injector.pass_on(self._process_datagram, data)

    def _process_datagram(self, data):
        try:
            packet = self._format.decode(data)
        except wire_errors.WireError:
            self.counts['malformed'] += 1
            return
        self.counts['packets_received'] += 1
        connection = self._connections.get(packet.connection_id)
        if connection is None or connection.end_reason is not None:
            self._answer_after_end(packet)
            return
        addresses = (
            packet.caller_address,
            packet.service_address,
            packet.return_address,
        )
        if addresses != connection.addresses:
            self.counts['wrong_addresses'] += 1
            return
        connection.on_packet(packet)
        self._track_deadline(connection)

    def _answer_after_end(self, packet):
        # RESET and ACK are not answered, which rules out loops.
        if packet.kind not in _KINDS_ANSWERED_AFTER_END:
            return
        ended = self._ended.get(packet.connection_id)
        known = ended is not None and ended.stream_id == packet.stream_id
        kind, ack = _KIND.RESET, 0
        if known and ended.ack is not None:
            kind, ack = _KIND.ACK, ended.ack
        self.counts['answered_after_end'] += 1
        self._send_packet(
            attrs.evolve(
                packet, kind=int(kind), offset=packet.ack, ack=ack, payload=b''
            )
        )
