"""Sends the requests of a load plan and checks every answer."""

import gevent
from gevent import pool

from kingcupport.common import errors
from kingcupport.standins import caller_connection
from kingcupport.standins import caller_request
from kingcupport.standins import connection_pool
from kingcupport.standins import echo
from kingcupport.standins import load_report
from kingcupport.standins import run_check

OUTCOME_HEADER = 'kingcupport-outcome'
NOT_RUN = 'not-run'
UNKNOWN = 'unknown'
NO_ANSWER = 'no-answer'
# Limit of unfinished requests; when it is reached, arrivals are delayed.
MAX_UNFINISHED_REQUESTS = 20_000
# Added to the stated timeout for the transmission of the answer.
ANSWER_GRACE_MS = 5_000
MAX_REASON_BYTES = 200
MAX_RETRY_DELAY_MS = 1_000


class LoadRun:
    """Sends the load of one LoadPlan.

    Args:
        plan: LoadPlan.
        clock: Clock.
        random: ``random.Random``.
        run_id: Unique name of the run, prefix of keys and identifiers.
    """

    def __init__(self, plan, clock, random, run_id):
        self._plan = plan
        self._clock = clock
        self._random = random
        self._factory = caller_request.CallerRequestFactory(
            plan, random, run_id
        )
        self._requests = pool.Pool(MAX_UNFINISHED_REQUESTS)
        self._keys = []
        self._unkeyed_ids = []
        self._not_run_ids = []
        self._started_ms = clock.monotonic_ms()
        self.report = load_report.LoadReport()
        self._pools = {
            target.service: connection_pool.ConnectionPool(
                target.address, plan.connections_count, random, self.report
            )
            for target in plan.targets
        }

    def run(self, server_addresses=()):
        """Send all requests and wait for their answers.

        Args:
            server_addresses: Addresses of the backend server stand-ins whose
                run counts are checked against the answers.

        Returns:
            The LoadReport.

        Raises:
            ConnectionBrokenError: The initial connections cannot be opened.
        """
        self.open()
        self.send()
        self.close()
        self.check_runs(server_addresses)
        return self.report

    def open(self):
        """Open the connections to all targets."""
        for service_pool in self._pools.values():
            service_pool.open()

    def send(self):
        """Send the plan's requests and wait until all are finished."""
        self._started_ms = self._clock.monotonic_ms()
        gevent.joinall(
            [gevent.spawn(self._send_to, service) for service in self._pools],
            raise_error=True,
        )
        self._requests.join()
        now_ms = self._clock.monotonic_ms()
        self.report.duration_ms = now_ms - self._started_ms

    def close(self):
        """Close the connections and count those found broken."""
        for service_pool in self._pools.values():
            service_pool.close()

    def _send_to(self, service):
        for elapsed_ms in self._plan.arrivals_ms(self._random):
            arrival_ms = self._started_ms + elapsed_ms
            self._clock.sleep_until(arrival_ms)
            request = self._factory.make(service, arrival_ms)
            self.report.requests += 1
            self._requests.spawn(self._execute, request)

    def _execute(self, request):
        if request.idempotency_key:
            self._keys.append(request.idempotency_key)
        attempts = self._plan.max_attempts if request.idempotency_key else 1
        for attempt in range(attempts):
            if attempt:
                self.report.retries += 1
                gevent.sleep(self._retry_delay_ms() / 1000)
            self._factory.next_attempt(request)
            outcome = self._attempt(request)
            if outcome is None:
                return
        self.report.final_outcomes[outcome] += 1
        if outcome == NO_ANSWER:
            self.report.lost += 1

    def _retry_delay_ms(self):
        return self._random.uniform(0.2, 1) * MAX_RETRY_DELAY_MS

    def _attempt(self, request):
        """Return the outcome of a failed attempt, None if answered."""
        if request.method == 'POST' and not request.idempotency_key:
            self._unkeyed_ids.append(request.attempt_ids[-1])
        service_pool = self._pools[request.service]
        connection = service_pool.acquire()
        try:
            answer = connection.exchange(
                request.method,
                request.target,
                request.headers(self._plan),
                request.body,
                self._plan.timeout_ms + ANSWER_GRACE_MS,
            )
        except errors.KingcupportError as error:
            self._add_error(request, f'{error} on {connection.local_port}')
            broken = isinstance(error, caller_connection.ConnectionBrokenError)
            service_pool.discard(connection, broken=broken)
            return NO_ANSWER
        service_pool.release(connection)
        return self._check_answer(request, answer)

    def _check_answer(self, request, answer):
        outcome = answer.headers.get(OUTCOME_HEADER)
        if outcome in (NOT_RUN, UNKNOWN):
            self.report.refusals[outcome] += 1
            if outcome == NOT_RUN:
                self._not_run_ids.append(request.attempt_ids[-1])
            reason = answer.body[:MAX_REASON_BYTES].decode(errors='replace')
            self._add_error(request, f'{outcome}: {reason.strip()}')
            return outcome
        if answer.status != 200:
            self.report.refusals[f'status-{answer.status}'] += 1
            return f'status-{answer.status}'
        latency_ms = self._clock.monotonic_ms() - request.arrival_ms
        try:
            echoed = echo.read_body(answer.body)
            echo.check_echo(
                echoed,
                service=request.service,
                request_id=request.attempt_ids,
                target=request.target,
                body=request.body,
            )
        except echo.EchoError as error:
            self.report.wrong += 1
            self._add_error(request, error)
            return None
        self.report.add_answer(
            request.service, echoed.server, latency_ms, request.straggler
        )
        return None

    def _add_error(self, request, error):
        elapsed_ms = round(self._clock.monotonic_ms() - self._started_ms)
        self.report.add_error(
            f'after {elapsed_ms} ms: {request.attempt_ids[-1]} '
            f'{request.method} {request.target}: {error}'
        )

    def check_runs(self, server_addresses):
        """Check the run counts of servers against the answers.

        Args:
            server_addresses: Addresses of the backend server stand-ins.
        """
        runs = run_check.read_runs(server_addresses)
        twice_ids = runs.run_twice(self._keys, self._unkeyed_ids)
        ran_ids = runs.ran(self._not_run_ids)
        self.report.run_twice = len(twice_ids)
        self.report.ran_after_not_run = len(ran_ids)
        self.report.runs_not_read = len(runs.unread)
        self.report.busy_ms_by_server.update(runs.busy_ms_by_server)
        for name in twice_ids[:3]:
            self.report.add_error(f'{name}: ran twice')
        for name in ran_ids[:3]:
            self.report.add_error(f'{name}: ran after not-run')
