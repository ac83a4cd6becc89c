"""A client that opens flows, sends requests and checks each answer."""

import gevent
import platform_standin

REQUEST_ATTEMPTS = 12
OPEN_TIMEOUTS_MS = (200, 400, 800)
ANSWER_TIMEOUT_MS = 250
# A client accepts a reset whose sequence number is at most this far from its
# last acknowledgement.
RESET_WINDOW_BYTES = 76_800


class SoakClient:
    """Sends requests over one flow after another.

    Args:
        harness: SoakHarness.
        ip: Address of the client.
        name: Unique prefix of its request ids.
        service_address: Address of the service that it calls.
        rng: random.Random.
        on_reset: Called with the client when an open flow is reset.
    """

    def __init__(self, harness, ip, name, service_address, rng, on_reset):
        self.answered = 0
        self.unanswered = 0
        self.refused = 0
        self.wrong_answers = []
        # Server of the open flow, or None.
        self.server = None
        self._harness = harness
        self._name = name
        self._service_address = service_address
        self._rng = rng
        self._on_reset = on_reset
        self._port = 20_000
        self._request_number = 0
        self._flow = platform_standin.Client(
            ip, self._port, harness.ports['packets'], None, service_address
        )

    def close(self):
        """Close the socket."""
        self._flow.close()

    def run(self):
        """Open flows and send requests until killed."""
        while True:
            self.run_flow(self._rng.randint(1, 6))
            gevent.sleep(self._rng.uniform(0, 0.1))

    def run_flow(self, request_count):
        """Send requests over a new flow; return the number of answers."""
        self._port += 1
        self._flow.end = (self._flow.end[0], self._port)
        if not self._open_flow():
            return 0
        answer_count = 0
        for _ in range(request_count):
            if not self._send_request():
                break
            answer_count += 1
            gevent.sleep(self._rng.uniform(0, 0.5))
        self.server = None
        return answer_count

    def _open_flow(self):
        for attempt, timeout_ms in enumerate(OPEN_TIMEOUTS_MS):
            self._send(platform_standin.SYN, seq=7, ack=attempt)
            answer = self._receive(timeout_ms)
            if answer is None:
                continue
            if answer[0] & platform_standin.RST:
                self.refused += 1
                return False
            first_sequence = int.from_bytes(answer[16:20])
            self._flow.server_seq = first_sequence
            self.server = self._harness.find_server(
                self._flow.end, first_sequence
            )
            return True
        self.unanswered += 1
        return False

    def _send_request(self):
        self._request_number += 1
        payload = f'{self._name}-{self._request_number}'.encode()
        for _ in range(REQUEST_ATTEMPTS):
            self._send(
                platform_standin.ACK,
                seq=8 + self._request_number,
                ack=self._flow.server_seq + 1,
                data=payload,
            )
            answer = self._receive(ANSWER_TIMEOUT_MS)
            if answer is None:
                continue
            if answer[0] & platform_standin.RST:
                if not self._accepts_reset(answer):
                    continue
                self._on_reset(self)
                return False
            data = answer[platform_standin.HEADER :]
            if data == b'HTTP/1.1 200 OK\r\n\r\n' + payload:
                self.answered += 1
                return True
            if data and not self._is_answer_to_earlier_request(data):
                self.wrong_answers.append((payload, data))
        self.unanswered += 1
        return False

    def _accepts_reset(self, answer):
        """Return whether a reset is close to the last acknowledgement.

        A reset that answers an old copy of an opening packet is not.
        """
        sequence = int.from_bytes(answer[16:20])
        return abs(sequence - self._flow.server_seq - 1) <= RESET_WINDOW_BYTES

    def _is_answer_to_earlier_request(self, data):
        return data.startswith(
            f'HTTP/1.1 200 OK\r\n\r\n{self._name}-'.encode()
        )

    def _send(self, flags, **fields):
        balancer = self._harness.router.choose_balancer(self._flow.end)
        if balancer is not None and not self._harness.router.drops_packet():
            self._flow.send(flags, balancer=balancer, **fields)

    def _receive(self, timeout_ms):
        with gevent.Timeout(timeout_ms / 1000, False):
            while True:
                data = self._flow.receive(timeout_ms)
                if data is None:
                    continue
                endpoints = platform_standin.read_ends(data)
                if endpoints == (self._service_address, self._flow.end):
                    return data
                if endpoints[0] != self._service_address:
                    self.wrong_answers.append((self._flow.end, endpoints))
        return None
