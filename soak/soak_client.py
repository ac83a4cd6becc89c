"""A client that opens flows, keeps them and checks each answer."""

import gevent
import platform_standin

TRIES = 12
OPEN_COPIES_MS = (200, 400, 800)
ANSWER_MS = 250
# How far from its last acknowledgement a client takes a reset, in bytes.
RESET_WINDOW = 76_800


class SoakClient:
    """Sends requests over one flow after the other.

    Args:
        bed: SoakBed.
        ip: Address of the client.
        name: Unique start of its request ids.
        service_address: Address that it uses.
        rng: random.Random.
        on_reset: Called with the client when an open flow was reset.
    """

    def __init__(self, bed, ip, name, service_address, rng, on_reset):
        self.answered = 0
        self.unanswered = 0
        self.refused = 0
        self.wrong = []
        # Server that holds the open flow, None without one.
        self.server = None
        self._bed = bed
        self._name = name
        self._service_address = service_address
        self._rng = rng
        self._on_reset = on_reset
        self._port = 20_000
        self._number = 0
        self._flow = platform_standin.Client(
            ip, self._port, bed.ports['packets'], None, service_address
        )

    def close(self):
        """Close the socket."""
        self._flow.close()

    def run(self):
        """Open flows and send requests until killed."""
        while True:
            self.run_flow(self._rng.randint(1, 6))
            gevent.sleep(self._rng.uniform(0, 0.1))

    def run_flow(self, requests):
        """Send requests over a flow of its own; return how many answers."""
        self._port += 1
        self._flow.end = (self._flow.end[0], self._port)
        if not self._open():
            return 0
        count = 0
        for _ in range(requests):
            if not self._request():
                break
            count += 1
            gevent.sleep(self._rng.uniform(0, 0.5))
        self.server = None
        return count

    def _open(self):
        for copy, wait_ms in enumerate(OPEN_COPIES_MS):
            self._send(platform_standin.SYN, seq=7, ack=copy)
            answer = self._receive(wait_ms)
            if answer is None:
                continue
            if answer[0] & platform_standin.RST:
                self.refused += 1
                return False
            first = int.from_bytes(answer[16:20])
            self._flow.server_seq = first
            self.server = self._bed.server_with(self._flow.end, first)
            return True
        self.unanswered += 1
        return False

    def _request(self):
        self._number += 1
        payload = f'{self._name}-{self._number}'.encode()
        for _ in range(TRIES):
            self._send(
                platform_standin.ACK,
                seq=8 + self._number,
                ack=self._flow.server_seq + 1,
                data=payload,
            )
            answer = self._receive(ANSWER_MS)
            if answer is None:
                continue
            if answer[0] & platform_standin.RST:
                if not self._takes_reset(answer):
                    continue
                self._on_reset(self)
                return False
            data = answer[platform_standin.HEADER :]
            if data == b'HTTP/1.1 200 OK\r\n\r\n' + payload:
                self.answered += 1
                return True
            if data and not self._is_earlier(data):
                self.wrong.append((payload, data))
        self.unanswered += 1
        return False

    def _takes_reset(self, answer):
        """Whether a reset is near the client's last acknowledgement.

        One that answers an old copy of an opening packet is not.
        """
        sequence = int.from_bytes(answer[16:20])
        return abs(sequence - self._flow.server_seq - 1) <= RESET_WINDOW

    def _is_earlier(self, data):
        return data.startswith(
            f'HTTP/1.1 200 OK\r\n\r\n{self._name}-'.encode()
        )

    def _send(self, flags, **fields):
        balancer = self._bed.router.choose(self._flow.end)
        if balancer is not None and not self._bed.router.loses_packet():
            self._flow.send(flags, balancer=balancer, **fields)

    def _receive(self, timeout_ms):
        with gevent.Timeout(timeout_ms / 1000, False):
            while True:
                data = self._flow.receive(timeout_ms)
                if data is None:
                    continue
                ends = platform_standin.read_ends(data)
                if ends == (self._service_address, self._flow.end):
                    return data
                if ends[0] != self._service_address:
                    self.wrong.append((self._flow.end, ends))
        return None
