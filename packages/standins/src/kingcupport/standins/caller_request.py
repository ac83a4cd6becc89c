"""Requests of the load generator."""

import attrs

SHORT_TARGET = '/visits'
KEYED_TARGET = '/bookings'


@attrs.define
class CallerRequest:
    """One request and its attempts.

    Args:
        service: Name of the service.
        method: HTTP method.
        target: Request target.
        body: Request body.
        idempotency_key: Idempotency key, empty for requests without one.
        service_time_ms: Run time requested from the server.
        straggler: Whether the run time is that of a straggler.
        arrival_ms: Scheduled send time. Latency is measured from here and
            includes the wait for a free connection.
        attempt_ids: ``X-Request-Id`` of each attempt.
    """

    service: str
    method: str
    target: str
    body: bytes
    idempotency_key: str
    service_time_ms: float
    straggler: bool
    arrival_ms: float
    attempt_ids: list = attrs.field(factory=list)

    def headers(self, plan):
        """Return the headers of the latest attempt as a list of pairs."""
        headers = [
            ('X-Request-Id', self.attempt_ids[-1]),
            ('X-Service-Time-Ms', f'{self.service_time_ms:.3f}'),
            ('X-Answer-Bytes', str(plan.answer_bytes)),
            ('Kingcupport-Timeout-Ms', str(plan.timeout_ms)),
        ]
        if self.idempotency_key:
            headers.append(('Idempotency-Key', self.idempotency_key))
        return headers


class CallerRequestFactory:
    """Generates requests in the proportions of a plan.

    Args:
        plan: LoadPlan.
        random: ``random.Random``.
        run_id: Unique name of the run, prefix of keys and identifiers.
    """

    def __init__(self, plan, random, run_id):
        self._plan = plan
        self._random = random
        self._prefix = run_id
        self._count = 0

    def make(self, service, arrival_ms):
        """Return a new CallerRequest for a service."""
        plan = self._plan
        self._count += 1
        draw_percent = self._random.uniform(0, 100)
        keyed = draw_percent < plan.keyed_percent
        unkeyed = not keyed and draw_percent < (
            plan.keyed_percent + plan.unkeyed_percent
        )
        straggler = self._random.uniform(0, 100) < plan.straggler_percent
        number = f'{self._prefix}-{self._count}'
        return CallerRequest(
            service=service,
            method='POST' if keyed or unkeyed else 'GET',
            target=f'{self._path(keyed, straggler)}?number={number}',
            body=f'body-{number}'.encode() if keyed or unkeyed else b'',
            idempotency_key=f'key-{number}' if keyed else '',
            service_time_ms=self._service_time_ms(straggler),
            straggler=straggler,
            arrival_ms=arrival_ms,
        )

    def _path(self, keyed, straggler):
        if straggler and self._plan.long_target != SHORT_TARGET:
            return self._plan.long_target
        return KEYED_TARGET if keyed else SHORT_TARGET

    def _service_time_ms(self, straggler):
        time_ms = self._random.uniform(0.5, 1.5) * self._plan.service_time_ms
        return time_ms * self._plan.straggler_factor if straggler else time_ms

    def next_attempt(self, request):
        """Append a new request identifier for the next attempt."""
        number = len(request.attempt_ids) + 1
        self._count += 1
        request.attempt_ids.append(f'{self._prefix}-{self._count}.{number}')
