"""Stand-in for a backend server, with configurable behaviour."""

import json

import attrs
import gevent
from gevent import lock
from gevent import pywsgi
from gevent import socket

from kingcupport.common import address as address_module
from kingcupport.standins import echo as echo_module
from kingcupport.standins import fault_documents
from kingcupport.standins import json_server
from kingcupport.standins import run_counts
from kingcupport.standins import server_behaviour
from kingcupport.standins import server_reports

NOT_RUN = 'not-run'
UNKNOWN = 'unknown'
CLOSE_POLL_MS = 50


@attrs.frozen
class _ServerRequest:
    """One parsed HTTP request."""

    request_id: str
    idempotency_key: str
    target: str
    path: str
    body: bytes
    service_time_ms: float | None
    answer_bytes: int | None
    deadline_utc_ms: int | None
    sock: socket.socket


class _SocketHandler(pywsgi.WSGIHandler):
    """Adds the connection's socket to the WSGI environment.

    The WSGI server sends header and body of a response in separate segments.
    Without TCP_NODELAY, the body waits for the acknowledgement of the header,
    which the peer may delay by 40 ms.
    """

    def handle(self):
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle()

    def get_environ(self):
        environ = super().get_environ()
        environ['standin.socket'] = self.socket
        return environ


class BackendServer:
    """HTTP/1.1 server that runs requests in a fixed number of slots.

    A request occupies a slot for the configured time and is answered with an
    Echo. Its headers ``X-Service-Time-Ms`` and ``X-Answer-Bytes`` override
    the configured values. Four paths are exceptions: tests use
    ``PUT /_behaviour`` to control the server and ``GET /_runs`` to read its
    run counts; ``GET /_health`` and ``GET /_load`` return the health and load
    report.

    Args:
        address: Address to listen on; port 0 selects a free port.
        service: Name of the service, included in every answer.
        name: Name of the server, included in every answer.
        slots: Number of requests that run concurrently.
        clock: Clock for service times and deadlines.
        random: ``random.Random`` that selects the stragglers.
        behaviour: ServerBehaviour; None uses its defaults.
    """

    def __init__(
        self, address, service, name, slots, clock, random, behaviour=None
    ):
        self.service = service
        self.name = name
        self.behaviour = behaviour or server_behaviour.ServerBehaviour()
        self.counts = run_counts.RunCounts()
        self._slots = slots
        self._free_slots = lock.Semaphore(slots)
        self._clock = clock
        self._random = random
        self._queued = 0
        self._running = 0
        self._started_ms = clock.monotonic_ms()
        self._reports = server_reports.ServerReports(clock, self._report)
        self._server = pywsgi.WSGIServer(
            address.as_tuple(),
            self._handle,
            log=None,
            handler_class=_SocketHandler,
        )

    @property
    def address(self):
        """Address that the server listens on; available after ``start``."""
        return address_module.Address(
            self._server.server_host, self._server.server_port
        )

    def start(self):
        """Start listening and serving in background tasks."""
        self._server.start()
        self._reports.start()

    def stop(self):
        """Stop listening and close the connections."""
        self._reports.stop()
        self._server.stop(timeout=0)

    def _handle(self, environ, start_response):
        route = (environ['REQUEST_METHOD'], environ['PATH_INFO'])
        body = environ['wsgi.input'].read()
        control_routes = {
            ('GET', '/_runs'): self._get_runs,
            ('GET', '/_health'): self._get_report,
            ('GET', '/_load'): self._get_report,
            ('PUT', '/_behaviour'): self._put_behaviour,
        }
        if route in control_routes:
            return _respond_to_control(
                control_routes[route], body, start_response
            )
        status, headers, answer = self._run(_parse_environ(environ, body))
        start_response(
            status, [*headers, ('Content-Length', str(len(answer)))]
        )
        return [answer]

    def _run(self, request):
        behaviour = self.behaviour
        if behaviour.shedding or behaviour.draining:
            return self._refuse('shed', NOT_RUN)
        if self._queued >= behaviour.queue_limit_count:
            return self._refuse('shed', NOT_RUN)
        if not self._acquire_slot(request):
            return self._refuse('cancelled_in_queue', NOT_RUN)
        try:
            return self._run_in_slot(request)
        finally:
            self._running -= 1
            self._free_slots.release()

    def _acquire_slot(self, request):
        # Returns False if the caller closed its connection while waiting.
        self._queued += 1
        try:
            waits = self._queued > 1
            if waits or not self._free_slots.acquire(blocking=False):
                slot_waiter = gevent.spawn(self._free_slots.acquire)
                close_waiter = gevent.spawn(_wait_until_closed, request.sock)
                try:
                    gevent.wait((slot_waiter, close_waiter), count=1)
                    if not slot_waiter.ready():
                        return False
                finally:
                    gevent.killall((slot_waiter, close_waiter))
        finally:
            self._queued -= 1
        self._running += 1
        return True

    def _run_in_slot(self, request):
        remaining_ms = self._remaining_ms(request)
        if remaining_ms <= 0:
            return self._refuse('deadline_before_run', NOT_RUN)
        straggler, service_time_ms = self._service_time_ms(request)
        self.counts.started(request.request_id, request.idempotency_key)
        started_ms = self._clock.monotonic_ms()
        outcome = self._simulate_work(
            request, min(service_time_ms, remaining_ms)
        )
        busy_ms = self._clock.monotonic_ms() - started_ms
        if outcome == 'completed' and service_time_ms > remaining_ms:
            outcome = 'deadline'
        self.counts.ended(outcome, busy_ms)
        if outcome != 'completed':
            return _make_refusal(UNKNOWN)
        status = '500 Internal Server Error' if self.behaviour.failing else ''
        headers = [
            ('Content-Type', 'application/octet-stream'),
            ('X-Straggler', str(int(straggler))),
        ]
        return status or '200 OK', headers, self._answer_body(request)

    def _simulate_work(self, request, duration_ms):
        # The run is cancelled if the caller closes its connection.
        close_waiter = gevent.spawn(_wait_until_closed, request.sock)
        try:
            close_waiter.join(timeout=duration_ms / 1000)
            return 'cancelled' if close_waiter.ready() else 'completed'
        finally:
            close_waiter.kill()

    def _service_time_ms(self, request):
        behaviour = self.behaviour
        time_ms = request.service_time_ms
        if time_ms is None:
            time_ms = behaviour.route_times_ms.get(
                request.path, behaviour.service_time_ms
            )
        straggler = self._random.uniform(0, 100) < behaviour.straggler_percent
        if straggler:
            time_ms *= behaviour.straggler_factor
        if self._is_cold():
            time_ms *= behaviour.cold_factor
        return straggler, time_ms

    def _is_cold(self):
        age_ms = self._clock.monotonic_ms() - self._started_ms
        return age_ms < self.behaviour.cold_start_ms

    def _remaining_ms(self, request):
        if request.deadline_utc_ms is None:
            return float('inf')
        return request.deadline_utc_ms - self._clock.utc_ms()

    def _refuse(self, outcome, run_outcome):
        self.counts.ended(outcome)
        return _make_refusal(run_outcome)

    def _answer_body(self, request):
        filler_bytes = request.answer_bytes
        if filler_bytes is None:
            filler_bytes = self.behaviour.answer_bytes
        return echo_module.make_body(
            echo_module.Echo(
                service=self.service,
                server=self.name,
                request_id=request.request_id,
                target=request.target,
                body_digest=echo_module.compute_digest(request.body),
                filler_bytes=filler_bytes,
            )
        )

    def _report(self):
        state = 'cold' if self._is_cold() else 'ready'
        if self.behaviour.draining:
            state = 'draining'
        return {
            'state': state,
            'slots': self._slots,
            'running': self._running,
            'queued': self._queued,
        }

    def _get_report(self, body):
        behaviour = self.behaviour
        return self._reports.select_report(
            behaviour.report_lag_ms, behaviour.report_idle
        )

    def _get_runs(self, body):
        plain = self.counts.to_plain()
        return plain | {'server': self.name, 'service': self.service}

    def _put_behaviour(self, body):
        # Fields missing in the request keep their value.
        plain = fault_documents.write_document(self.behaviour)
        self.behaviour = fault_documents.read_document(
            plain | fault_documents.parse_object(body),
            server_behaviour.ServerBehaviour,
        )
        return {}


def _respond_to_control(handler, body, start_response):
    try:
        document, status = handler(body), '200 OK'
    except json_server.JsonRequestError as error:
        document, status = {'reason': str(error)}, '400 Bad Request'
    answer = json.dumps(document, separators=(',', ':')).encode()
    start_response(status, [('Content-Type', 'application/json')])
    return [answer]


def _make_refusal(run_outcome):
    headers = [('Kingcupport-Outcome', run_outcome)]
    if run_outcome == UNKNOWN:
        return '504 Gateway Timeout', headers, b'unknown\n'
    headers.append(('Retry-After', '1'))
    return '503 Service Unavailable', headers, b'not run\n'


def _parse_environ(environ, body):
    query = environ.get('QUERY_STRING', '')
    path = environ['PATH_INFO']
    return _ServerRequest(
        request_id=environ.get('HTTP_X_REQUEST_ID', ''),
        idempotency_key=environ.get('HTTP_IDEMPOTENCY_KEY', ''),
        target=f'{path}?{query}' if query else path,
        path=path,
        body=body,
        service_time_ms=_parse_number(
            environ, 'HTTP_X_SERVICE_TIME_MS', float
        ),
        answer_bytes=_parse_number(environ, 'HTTP_X_ANSWER_BYTES', int),
        deadline_utc_ms=_parse_number(
            environ, 'HTTP_KINGCUPPORT_DEADLINE_UTC_MS', int
        ),
        sock=environ['standin.socket'],
    )


def _parse_number(environ, name, number_type):
    # A value that is not a number is ignored, as real servers do.
    try:
        return number_type(environ[name])
    except (KeyError, ValueError):
        return None


def _wait_until_closed(sock):
    while True:
        try:
            socket.wait_read(sock.fileno())
            if not sock.recv(1, socket.MSG_PEEK):
                return
        except OSError:
            return
        # A pipelined request keeps the socket readable until the current
        # request is answered.
        gevent.sleep(CLOSE_POLL_MS / 1000)
