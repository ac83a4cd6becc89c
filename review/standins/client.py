"""Stand-in of the platform's clients and of their router."""

import asyncio
import hashlib
import random
import time

from standins import packets

SYN_COPIES_S = (0.0, 0.2, 0.6)
OPEN_TIMEOUT_S = 1.4


class Router:
    """Forwards each packet to a balancer in rotation, chosen by a hash.

    Args:
        fleet: Fleet whose balancers it probes.
    """

    def __init__(self, fleet):
        self._fleet = fleet
        self._misses = {}
        self.rotation = set()

    async def run(self):
        """Probe every balancer twice a second."""
        while True:
            await asyncio.gather(
                *[self._probe(ip) for ip in list(self._fleet.balancers)]
            )
            await asyncio.sleep(0.5)

    async def _probe(self, ip):
        if await self._is_ready(ip):
            self._misses[ip] = 0
            self._set(ip, True)
            return
        self._misses[ip] = self._misses.get(ip, 0) + 1
        if self._misses[ip] >= 2:
            self._set(ip, False)

    def _set(self, ip, is_ready):
        if is_ready != (ip in self.rotation):
            word = 'in' if is_ready else 'out of'
            self._fleet.record(f'router {ip} {word} rotation')
        (self.rotation.add if is_ready else self.rotation.discard)(ip)

    async def _is_ready(self, ip):
        try:
            async with asyncio.timeout(0.4):
                reader, writer = await asyncio.open_connection(
                    ip, self._fleet.ports['ready']
                )
                writer.write(b'GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n')
                line = await reader.readline()
                writer.close()
                return b' 200 ' in line
        except (OSError, TimeoutError):
            return False

    def choose(self, source, destination):
        """Return the address of a flow's balancer, or None."""
        ips = self.rotation
        if 2 * len(ips) < len(self._fleet.balancers):
            ips = set(self._fleet.balancers)
        if not ips:
            return None
        text = f'{source} {destination}'
        ip = max(
            ips, key=lambda ip: hashlib.md5(f'{ip} {text}'.encode()).digest()
        )
        return (ip, self._fleet.ports['packets'])


class ClientMachine:
    """One address of clients; receives packets for all their flows."""

    def __init__(self, fleet, ip):
        self.fleet = fleet
        self.ip = ip
        self.flows = {}
        self.forged = 0
        self._transport = None
        self._next_port = random.randint(20_000, 30_000)

    async def start(self):
        """Bind the address."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _Protocol(self._on_datagram),
            local_addr=(self.ip, self.fleet.ports['packets']),
        )

    def stop(self):
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def open_flow(self, destination):
        """Return a new ClientFlow from a new port."""
        self._next_port += 1
        flow = ClientFlow(self, (self.ip, self._next_port), destination)
        self.flows[flow.source] = flow
        return flow

    def send(self, raw, source, destination):
        """Send a packet to the balancer that the router selects.

        Returns:
            The address of the balancer, or None.
        """
        balancer = self.fleet.router.choose(source, destination)
        if balancer is None or self._transport.is_closing():
            return None
        self._transport.sendto(raw, balancer)
        return balancer[0]

    def _on_datagram(self, raw, _source):
        packet = packets.parse(raw)
        if packet is None:
            self.forged += 1
            return
        flow = self.flows.get(packet.destination)
        is_reset = packet.flags == packets.RST and packet.total == 0
        if not is_reset and not packet.is_genuine():
            self.forged += 1
        elif flow is not None and flow.destination == packet.source:
            flow.on_packet(packet, is_reset)


class ClientFlow:
    """One flow of a client.

    Attributes:
        state: ``opening``, ``open``, ``reset``, ``failed`` or ``closed``.
        system_reset_s: When a reset of the system ended the open flow.
        opening_ips: Balancers that got a copy of the opening packet.
    """

    def __init__(self, machine, source, destination):
        self.machine = machine
        self.source = source
        self.destination = destination
        self.state = 'opening'
        self.system_reset_s = None
        self.opening_ips = set()
        self.opened_s = None
        self.last_packet_s = time.monotonic()
        self._seq = random.getrandbits(32)
        self._ack = 0
        self._changed = asyncio.Event()
        self._answer = None

    async def open(self):
        """Open the flow; return whether that succeeded."""
        first_s = time.monotonic()
        syn_sequence = self._seq
        self._seq = (self._seq + 1) % packets.MODULUS
        for copy, age_s in enumerate(SYN_COPIES_S):
            await self._wait(first_s + age_s)
            if self.state != 'opening':
                break
            raw = packets.make(
                packets.SYN, self.source, self.destination, syn_sequence, copy
            )
            ip = self.machine.send(raw, self.source, self.destination)
            self.opening_ips.add(ip)
        await self._wait(first_s + OPEN_TIMEOUT_S)
        if self.state == 'opening':
            self.state = 'failed'
        return self.state == 'open'

    async def _wait(self, until_s):
        while self.state == 'opening':
            left_s = until_s - time.monotonic()
            if left_s <= 0:
                return
            self._changed.clear()
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                return

    async def request(self, request_id, budget_s=5.0):
        """Send a request; return its answer, ``'reset'`` or None."""
        fleet = self.machine.fleet
        fleet.record(f'sent {request_id} flow={self.source[1]}')
        data = (
            f'GET /seats HTTP/1.1\r\nHost: {self.destination[0]}\r\n'
            f'X-Kingcupport-Request-Id: {request_id}\r\n\r\n'
        ).encode()
        raw = self._make(packets.ACK, data)
        self._seq = (self._seq + len(data)) % packets.MODULUS
        self._answer = None
        deadline_s = time.monotonic() + budget_s
        pause_s = 0.2
        while self.state == 'open' and self._answer is None:
            if time.monotonic() >= deadline_s:
                break
            self._transmit(raw)
            self._changed.clear()
            try:
                await asyncio.wait_for(self._changed.wait(), pause_s)
            except TimeoutError:
                pause_s = min(pause_s * 2, 1.6)
        if self._answer is None:
            outcome = 'reset' if self.state == 'reset' else None
            fleet.record(f'unanswered {request_id} {outcome}')
            return outcome
        fleet.record(f'answered {request_id}')
        return self._answer

    def close(self):
        """Send the packet that closes the client's side."""
        if self.state == 'open':
            self._transmit(self._make(packets.FIN | packets.ACK))
            self._seq = (self._seq + 1) % packets.MODULUS
            self.state = 'closed'

    def on_packet(self, packet, is_reset):
        """Handle a packet from the server, or a reset of the system."""
        if packet.flags & packets.RST:
            self._on_reset(packet, is_reset)
        elif self.state == 'opening' and packet.flags & packets.SYN:
            self._ack = (packet.seq + 1) % packets.MODULUS
            self.state = 'open'
            self.opened_s = time.monotonic()
            self._transmit(self._make(packets.ACK))
        elif self.state in ('open', 'closed') and packet.data:
            if packet.seq == self._ack:
                self._ack = (packet.seq + len(packet.data)) % packets.MODULUS
                self._answer = packet.data
            self._transmit(self._make(packets.ACK))
        elif self.state == 'open' and packet.flags & packets.FIN:
            if packet.seq == self._ack:
                self._ack = (packet.seq + 1) % packets.MODULUS
                self.close()
        elif self.state == 'closed' and packet.flags & packets.FIN:
            self._ack = (packet.seq + 1) % packets.MODULUS
            self._transmit(self._make(packets.ACK))
            self.machine.flows.pop(self.source, None)
        self._changed.set()

    def _on_reset(self, packet, is_from_system):
        if self.state == 'opening':
            self.state = 'failed'
        elif self.state == 'open' and (
            packets.distance(packet.seq, self._ack)
            <= packets.RESET_WINDOW_BYTES
        ):
            self.state = 'reset'
            if is_from_system:
                self.system_reset_s = time.monotonic()
                self.machine.fleet.on_system_reset(self)

    def _make(self, flags, data=b''):
        return packets.make(
            flags, self.source, self.destination, self._seq, self._ack, data
        )

    def _transmit(self, raw):
        self.last_packet_s = time.monotonic()
        self.machine.send(raw, self.source, self.destination)


class _Protocol(asyncio.DatagramProtocol):
    def __init__(self, on_datagram):
        self.datagram_received = on_datagram

    def error_received(self, _error):
        """Ignore a closed port of a balancer."""
