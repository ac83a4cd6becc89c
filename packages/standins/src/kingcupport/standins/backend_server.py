"""Stand-in for a backend server."""

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
class _Call:
    """One HTTP request as the server sees it."""

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
    """Hands the connection's socket to the application.

    The WSGI server sends head and body of an answer apart. Without
    TCP_NODELAY the body waits for the acknowledgement of the head, which the
    other side may delay by 40 ms.
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

    Every other path than the ones below runs for the configured time and
    answers with an Echo. ``X-Service-Time-Ms`` and ``X-Answer-Bytes`` of a
    request override the configured values. Tests use ``PUT /_behaviour`` and
    ``GET /_runs``; ``GET /_health`` and ``GET /_load`` are the reports.

    Args:
        address: Where to listen; port 0 chooses a free one.
        service: Name of the service, part of every answer.
        name: Name of the server, part of every answer.
        slots: Number of requests that run at once.
        clock: Clock for service times and deadlines.
        random: ``random.Random`` for stragglers.
        behaviour: ServerBehaviour.
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
        """Address in use, known once the server is started."""
        return address_module.Address(
            self._server.server_host, self._server.server_port
        )

    def start(self):
        """Listen and serve in tasks of their own."""
        self._server.start()
        self._reports.start()

    def stop(self):
        """Stop listening and end the connections."""
        self._reports.stop()
        self._server.stop(timeout=0)

    def _handle(self, environ, start_response):
        route = (environ['REQUEST_METHOD'], environ['PATH_INFO'])
        body = environ['wsgi.input'].read()
        controls = {
            ('GET', '/_runs'): self._get_runs,
            ('GET', '/_health'): self._get_report,
            ('GET', '/_load'): self._get_report,
            ('PUT', '/_behaviour'): self._put_behaviour,
        }
        if route in controls:
            return _control(controls[route], body, start_response)
        status, headers, answer = self._run(_read_call(environ, body))
        start_response(
            status, [*headers, ('Content-Length', str(len(answer)))]
        )
        return [answer]

    def _run(self, call):
        behaviour = self.behaviour
        if behaviour.shedding or behaviour.draining:
            return self._refuse('shed', NOT_RUN)
        if self._queued >= behaviour.queue_limit_count:
            return self._refuse('shed', NOT_RUN)
        if not self._acquire_slot(call):
            return self._refuse('cancelled_in_queue', NOT_RUN)
        try:
            return self._run_in_slot(call)
        finally:
            self._running -= 1
            self._free_slots.release()

    def _acquire_slot(self, call):
        # Returns False when the caller left before a slot was free.
        self._queued += 1
        try:
            waits = self._queued > 1
            if waits or not self._free_slots.acquire(blocking=False):
                waiter = gevent.spawn(self._free_slots.acquire)
                closed = gevent.spawn(_wait_until_closed, call.sock)
                try:
                    gevent.wait((waiter, closed), count=1)
                    if not waiter.ready():
                        return False
                finally:
                    gevent.killall((waiter, closed))
        finally:
            self._queued -= 1
        self._running += 1
        return True

    def _run_in_slot(self, call):
        left_ms = self._time_left_ms(call)
        if left_ms <= 0:
            return self._refuse('deadline_before_run', NOT_RUN)
        straggler, service_time_ms = self._service_time_ms(call)
        self.counts.started(call.request_id, call.idempotency_key)
        started_ms = self._clock.monotonic_ms()
        outcome = self._work(call, min(service_time_ms, left_ms))
        busy_ms = self._clock.monotonic_ms() - started_ms
        if outcome == 'completed' and service_time_ms > left_ms:
            outcome = 'deadline'
        self.counts.ended(outcome, busy_ms)
        if outcome != 'completed':
            return _refusal(UNKNOWN)
        status = '500 Internal Server Error' if self.behaviour.failing else ''
        headers = [
            ('Content-Type', 'application/octet-stream'),
            ('X-Straggler', str(int(straggler))),
        ]
        return status or '200 OK', headers, self._answer_body(call)

    def _work(self, call, duration_ms):
        # The run ends early when the caller closes the connection.
        closed = gevent.spawn(_wait_until_closed, call.sock)
        try:
            closed.join(timeout=duration_ms / 1000)
            return 'cancelled' if closed.ready() else 'completed'
        finally:
            closed.kill()

    def _service_time_ms(self, call):
        behaviour = self.behaviour
        time_ms = call.service_time_ms
        if time_ms is None:
            time_ms = behaviour.route_times_ms.get(
                call.path, behaviour.service_time_ms
            )
        straggler = self._random.uniform(0, 100) < behaviour.straggler_percent
        if straggler:
            time_ms *= behaviour.straggler_factor
        if self._cold():
            time_ms *= behaviour.cold_factor
        return straggler, time_ms

    def _cold(self):
        age_ms = self._clock.monotonic_ms() - self._started_ms
        return age_ms < self.behaviour.cold_start_ms

    def _time_left_ms(self, call):
        if call.deadline_utc_ms is None:
            return float('inf')
        return call.deadline_utc_ms - self._clock.utc_ms()

    def _refuse(self, outcome, run_outcome):
        self.counts.ended(outcome)
        return _refusal(run_outcome)

    def _answer_body(self, call):
        filler_bytes = call.answer_bytes
        if filler_bytes is None:
            filler_bytes = self.behaviour.answer_bytes
        return echo_module.make_body(
            echo_module.Echo(
                service=self.service,
                server=self.name,
                request_id=call.request_id,
                target=call.target,
                body_digest=echo_module.digest_of(call.body),
                filler_bytes=filler_bytes,
            )
        )

    def _report(self):
        state = 'cold' if self._cold() else 'ready'
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
        return self._reports.shown(
            behaviour.report_lag_ms, behaviour.report_idle
        )

    def _get_runs(self, body):
        plain = self.counts.to_plain()
        return plain | {'server': self.name, 'service': self.service}

    def _put_behaviour(self, body):
        # Fields that are not given keep their value.
        plain = fault_documents.write_document(self.behaviour)
        self.behaviour = fault_documents.read_document(
            plain | fault_documents.parse_object(body),
            server_behaviour.ServerBehaviour,
        )
        return {}


def _control(control, body, start_response):
    try:
        document, status = control(body), '200 OK'
    except json_server.JsonRequestError as error:
        document, status = {'reason': str(error)}, '400 Bad Request'
    answer = json.dumps(document, separators=(',', ':')).encode()
    start_response(status, [('Content-Type', 'application/json')])
    return [answer]


def _refusal(run_outcome):
    headers = [('Kingcupport-Outcome', run_outcome)]
    if run_outcome == UNKNOWN:
        return '504 Gateway Timeout', headers, b'unknown\n'
    headers.append(('Retry-After', '1'))
    return '503 Service Unavailable', headers, b'not run\n'


def _read_call(environ, body):
    query = environ.get('QUERY_STRING', '')
    path = environ['PATH_INFO']
    return _Call(
        request_id=environ.get('HTTP_X_REQUEST_ID', ''),
        idempotency_key=environ.get('HTTP_IDEMPOTENCY_KEY', ''),
        target=f'{path}?{query}' if query else path,
        path=path,
        body=body,
        service_time_ms=_number(environ, 'HTTP_X_SERVICE_TIME_MS', float),
        answer_bytes=_number(environ, 'HTTP_X_ANSWER_BYTES', int),
        deadline_utc_ms=_number(
            environ, 'HTTP_KINGCUPPORT_DEADLINE_UTC_MS', int
        ),
        sock=environ['standin.socket'],
    )


def _number(environ, name, number_type):
    # A value that is no number counts as absent, as with real servers.
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
        # A pipelined request stays readable until this one is answered.
        gevent.sleep(CLOSE_POLL_MS / 1000)
