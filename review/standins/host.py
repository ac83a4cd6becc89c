"""Stand-in of a backend server that speaks the platform's packets."""

import asyncio
import itertools
import random
import re
import time

from standins import packets

_REQUEST_ID = re.compile(rb'\r\nX-Kingcupport-Request-Id: *([^\r]+)', re.I)
MAX_RETRANSMISSIONS = 8


class _Flow:
    def __init__(self, sequence, client_sequence):
        self.first_sequence = sequence
        # Next sequence number of the server, and of the client.
        self.own_next = (sequence + 1) % packets.MODULUS
        self.client_next = (client_sequence + 1) % packets.MODULUS
        self.opened_s = None
        self.is_ended = False
        # Unacknowledged packets: (end, bytes), and their retransmission.
        self.unacknowledged = []
        self.tries = 0
        self.timer = None

    @property
    def is_open(self):
        return self.opened_s is not None and not self.is_ended


class Host:
    """Accepts flows, runs requests in its slots and answers them.

    Args:
        fleet: Fleet that it belongs to.
        name: Its id.
        service: Name of its service.
        ip: Address of its machine.
        slots: Requests that it runs at the same time.
        work_s: Time that a request takes.
        is_reporting: Whether it reports to the store from the start.
    """

    def __init__(
        self,
        fleet,
        name,
        service,
        ip,
        *,
        slots=1,
        work_s=0.013,
        is_reporting=True,
    ):
        self.fleet = fleet
        self.name = name
        self.service = service
        self.ip = ip
        self.slots = slots
        self.work_s = work_s
        self.state = 'ready'
        self.is_reporting = is_reporting
        self.flows = {}
        # ids of the requests that were run, in order.
        self.runs = []
        self.resets = []
        # Called with the client's end of each flow that opens here.
        self.on_open = lambda source: None
        self.forged = []
        self.opened_count = 0
        self.born = int(time.time() * 1000)
        self._sequence_numbers = itertools.count(1)
        self._queue = asyncio.Queue()
        self._tasks = []
        self._transport = None

    @property
    def _ports(self):
        return self.fleet.ports

    async def start(self):
        """Listen, run requests and report to the store."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _Protocol(self._on_datagram),
            local_addr=(self.ip, self._ports['app']),
        )
        self._tasks = [
            asyncio.create_task(self._work()) for _ in range(self.slots)
        ]
        self._tasks.append(asyncio.create_task(self._report()))

    def stop(self):
        """End at once, as after a crash."""
        for task in self._tasks:
            task.cancel()
        if self._transport is not None:
            self._transport.close()
        self.flows = {}

    async def write_entry(self):
        """Write the entry; return its revision, or None while down."""
        return await self.fleet.store.put(
            f'servers/{self.name}',
            {
                'service': self.service,
                'address': f'{self.ip}:{self._ports["app"]}',
                'zone': 'dakar-plateau',
                'config_version': 'v1',
                'slots': self.slots,
                'state': self.state,
                'cold_left_ms': 0,
                'seq_no': next(self._sequence_numbers),
                'born': self.born,
            },
        )

    async def _report(self):
        while True:
            if self.is_reporting:
                await self.write_entry()
            await asyncio.sleep(self.fleet.heartbeat_s)

    def _on_datagram(self, raw, _source):
        packet = packets.parse(raw)
        if packet is None:
            return
        if not packet.is_genuine():
            self.forged.append(raw)
            return
        key = (packet.source, packet.destination)
        flow = self.flows.get(key)
        if packet.flags & packets.SYN:
            self._on_opening(packet, key, flow)
        elif flow is None or not self._belongs(packet, flow):
            self._transmit(packets.bounce(raw))
        elif packet.flags & packets.RST:
            self._end(flow)
        else:
            self._on_packet(packet, key, flow)

    def _belongs(self, packet, flow):
        return (packet.ack - flow.first_sequence) % packets.MODULUS <= (
            flow.own_next - flow.first_sequence
        ) % packets.MODULUS and packet.ack != flow.first_sequence

    def _on_opening(self, packet, key, flow):
        if flow is None or flow.is_ended:
            if len(self.flows) >= 2_000 and not self._drop_ended():
                self._transmit(packets.bounce(packet.raw))
                return
            flow = _Flow(random.getrandbits(32), packet.seq)
            self.flows[key] = flow
        self._send(key, flow, packets.SYN | packets.ACK, flow.first_sequence)

    def _drop_ended(self):
        for key in [k for k, flow in self.flows.items() if flow.is_ended]:
            del self.flows[key]
        return len(self.flows) < 2_000

    def _on_packet(self, packet, key, flow):
        if flow.is_ended:
            if packet.flags & packets.FIN:
                flow.client_next = (
                    packet.seq + len(packet.data) + 1
                ) % packets.MODULUS
                self._send(key, flow, packets.ACK, flow.own_next)
            elif packet.data:
                self._reset(key, flow)
            return
        if flow.opened_s is None:
            flow.opened_s = time.monotonic()
            self.opened_count += 1
            self.on_open(packet.source)
        flow.unacknowledged = [
            (end, raw)
            for end, raw in flow.unacknowledged
            if (packet.ack - end) % packets.MODULUS > packets.MODULUS // 2
        ]
        if not flow.unacknowledged and flow.timer is not None:
            flow.timer.cancel()
            flow.timer, flow.tries = None, 0
        if packet.data and packet.seq == flow.client_next:
            flow.client_next = (
                packet.seq + len(packet.data)
            ) % packets.MODULUS
            self._queue.put_nowait((key, flow, packet.data))
        elif packet.data:
            self._send(key, flow, packets.ACK, flow.own_next)
        if packet.flags & packets.FIN and (
            (packet.seq + len(packet.data)) % packets.MODULUS
            == flow.client_next
        ):
            flow.client_next = (flow.client_next + 1) % packets.MODULUS
            self._send(key, flow, packets.FIN | packets.ACK, flow.own_next)
            flow.own_next = (flow.own_next + 1) % packets.MODULUS
            self._end(flow)

    async def _work(self):
        while True:
            key, flow, data = await self._queue.get()
            match = _REQUEST_ID.search(data)
            request_id = match[1].decode() if match else '?'
            self.runs.append(request_id)
            self.fleet.record(f'run {request_id} host={self.name}')
            await asyncio.sleep(self.work_s)
            if not flow.is_ended:
                self._answer(key, flow, request_id)

    def _answer(self, key, flow, request_id):
        body = f'{self.service} {request_id}'.encode()
        data = (
            b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n'
            b'X-Kingcupport-Instance-Id: %s\r\n'
            b'X-Kingcupport-Server-Seal: seal-%s\r\n\r\n'
            % (len(body), self.name.encode(), request_id.encode())
        ) + body
        client, own = key
        raw = packets.make(
            packets.ACK, own, client, flow.own_next, flow.client_next, data
        )
        flow.own_next = (flow.own_next + len(data)) % packets.MODULUS
        flow.unacknowledged.append((flow.own_next, raw))
        self._transmit(raw)
        if self.state == 'draining':
            self._send(key, flow, packets.FIN | packets.ACK, flow.own_next)
            flow.own_next = (flow.own_next + 1) % packets.MODULUS
        if flow.timer is None:
            self._arm(flow)

    def _arm(self, flow):
        delay_s = min(0.2 * 2**flow.tries, 1.6)
        flow.timer = asyncio.get_running_loop().call_later(
            delay_s, self._retransmit, flow
        )

    def _retransmit(self, flow):
        flow.timer = None
        flow.tries += 1
        if flow.tries > MAX_RETRANSMISSIONS:
            self._end(flow)
            return
        for _, raw in flow.unacknowledged:
            self._transmit(raw)
        if flow.unacknowledged:
            self._arm(flow)

    def _reset(self, key, flow):
        self.resets.append(key)
        self._send(key, flow, packets.RST, flow.own_next)

    def _end(self, flow):
        flow.is_ended = True
        flow.unacknowledged = []

    def _send(self, key, flow, flags, seq):
        client, own = key
        self._transmit(packets.make(flags, own, client, seq, flow.client_next))

    def _transmit(self, raw):
        if not self._transport.is_closing():
            self._transport.sendto(raw, (self.ip, self._ports['outbound']))


class _Protocol(asyncio.DatagramProtocol):
    def __init__(self, on_datagram):
        self.datagram_received = on_datagram

    def error_received(self, _error):
        """Ignore a closed port of the agent."""
