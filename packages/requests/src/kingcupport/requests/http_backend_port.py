"""Backend port over HTTP/1.1 to the server beside the agent."""

import gevent
from geventhttpclient import connectionpool
from geventhttpclient import response as http_response
import h11

from kingcupport.requests import answer
from kingcupport.requests import backend_port

DEADLINE_HEADER = b'kingcupport-deadline-utc-ms'
MAX_ANSWER_BYTES = 4 * 1024 * 1024
CONNECT_TIMEOUT_MS = 1000
SHED_STATUS = 503

_RECEIVE_BLOCK_BYTES = 65_536

# RFC 9110, section 7.6.1.
_HOP_BY_HOP_HEADERS = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    )
)

# The body is complete, so its length is known and no "100 Continue" has to be
# awaited. The deadline header replaces the caller's timeout.
_REPLACED_HEADERS = frozenset(
    (
        b'content-length',
        b'expect',
        b'kingcupport-timeout-ms',
        DEADLINE_HEADER,
    )
)


class HttpBackendPort(backend_port.BackendPort):
    """Sends every request to the same HTTP server.

    Idempotent requests reuse connections. Each non-idempotent request opens
    a new connection: if the server closed an idle connection while the
    request is being sent, its outcome would be unknown.

    Args:
        server_address: Address of the server.
        clock: Clock of the deadlines.
        slots: Number of requests that the server runs at once.
    """

    def __init__(self, server_address, clock, slots):
        self._clock = clock
        self._server_address = server_address
        self._reused_connections = self._make_pool(slots)
        self._single_use_connections = self._make_pool(slots)

    def _make_pool(self, slots):
        host, port = self._server_address.as_tuple()
        return connectionpool.ConnectionPool(
            host,
            port,
            host,
            port,
            size=slots,
            connection_timeout=CONNECT_TIMEOUT_MS / 1000,
            network_timeout=None,
        )

    def run(self, request):
        """Run one request; see ``BackendPort.run``."""
        now_ms = self._clock.monotonic_ms()
        remaining_ms = request.deadline_ms - now_ms
        if remaining_ms <= 0:
            raise self._not_run_error(
                'the deadline has passed',
                'check_deadline',
            )
        data = self._encode(request, self._clock.utc_ms() + remaining_ms)
        pool = (
            self._reused_connections
            if request.idempotent
            else self._single_use_connections
        )
        timer = gevent.Timeout.start_new(remaining_ms / 1000)
        try:
            sock = self._connect(pool, timer)
            return self._exchange(pool, sock, request, data, timer)
        finally:
            timer.close()

    def close(self):
        """Close idle connections."""
        self._reused_connections.close()
        self._single_use_connections.close()

    def _encode(self, request, deadline_utc_ms):
        headers = [
            (name, value)
            for name, value in _end_to_end_headers(request.headers)
            if name not in _REPLACED_HEADERS
        ]
        if not any(name == b'host' for name, _ in headers):
            headers.append((b'host', str(self._server_address).encode()))
        headers.append((DEADLINE_HEADER, b'%d' % deadline_utc_ms))
        if request.body or not request.idempotent:
            headers.append((b'content-length', b'%d' % len(request.body)))
        try:
            head = h11.Connection(h11.CLIENT).send(
                h11.Request(
                    method=request.method,
                    target=request.target,
                    headers=headers,
                )
            )
        except h11.LocalProtocolError as error:
            raise self._not_run_error(str(error), 'encode_request') from None
        return head + request.body

    def _connect(self, pool, timer):
        try:
            return pool.get_socket()
        except OSError as error:
            raise self._not_run_error(str(error), 'connect') from None
        except gevent.Timeout as expired:
            if expired is not timer:
                raise
            raise self._not_run_error(
                'the deadline passed', 'connect'
            ) from None

    def _exchange(self, pool, sock, request, data, timer):
        reusable = False
        try:
            sock.sendall(data)
            response = http_response.HTTPSocketResponse(
                sock, block_size=_RECEIVE_BLOCK_BYTES, method=request.method
            )
            body = self._read_body(response)
            reusable = request.idempotent and not response.should_close()
        except (OSError, http_response.HTTPParseError) as error:
            raise self._outcome_unknown_error(
                str(error) or type(error).__name__
            ) from None
        except gevent.Timeout as expired:
            if expired is not timer:
                raise
            raise self._outcome_unknown_error('the deadline passed') from None
        finally:
            # Also runs when the task is killed, which cancels the request.
            if reusable:
                pool.return_socket(sock)
            else:
                pool.release_socket(sock)
        return self._make_answer(response, body)

    def _read_body(self, response):
        blocks = []
        size_bytes = 0
        for block in response:
            size_bytes += len(block)
            if size_bytes > MAX_ANSWER_BYTES:
                raise self._outcome_unknown_error(
                    f'answer exceeds {MAX_ANSWER_BYTES} bytes'
                )
            blocks.append(block)
        return b''.join(blocks)

    def _make_answer(self, response, body):
        headers = tuple(
            _end_to_end_headers(
                (name.lower().encode('latin-1'), value.encode('latin-1'))
                for name, value in response.headers
            )
        )
        not_run = (answer.OUTCOME_HEADER, answer.Outcome.NOT_RUN.encode())
        if response.status_code == SHED_STATUS and not_run in headers:
            raise self._not_run_error('the server shed the request', 'run')
        return answer.Answer(response.status_code, headers, body)

    def _not_run_error(self, reason, step):
        return backend_port.NotRunError(
            reason, step=step, peer=self._server_address
        )

    def _outcome_unknown_error(self, reason):
        return backend_port.OutcomeUnknownError(
            reason, step='exchange', peer=self._server_address
        )


def _end_to_end_headers(headers):
    headers = list(headers)
    dropped = _HOP_BY_HOP_HEADERS.union(
        token.strip().lower()
        for name, value in headers
        if name == b'connection'
        for token in value.split(b',')
    )
    return [(name, value) for name, value in headers if name not in dropped]


def make_http_backend_port(server_address, clock, slots):
    """Return the port of an HTTP server.

    Args:
        server_address: Address of the server.
        clock: Clock of the deadlines.
        slots: Number of requests that the server runs at once.
    """
    return HttpBackendPort(server_address, clock, slots)
