"""A caller's request as the agents see it."""

import attrs

# RFC 9110, section 9.2.2.
IDEMPOTENT_METHODS = frozenset(
    ('GET', 'HEAD', 'OPTIONS', 'TRACE', 'PUT', 'DELETE')
)


@attrs.define
class Request:
    """One parsed HTTP request.

    Args:
        request_id: Unique text, chosen by the agent that parsed it.
        method: HTTP method in capitals.
        target: Request target, path and query.
        headers: Tuple of ``(name, value)`` byte pairs, names in lower case.
        body: The whole body.
        idempotency_key: Value of ``Idempotency-Key`` or an empty text.
        deadline_ms: Point on this process's monotonic clock after which the
            caller no longer waits.
    """

    request_id: str
    method: str
    target: str
    headers: tuple
    body: bytes
    idempotency_key: str
    deadline_ms: float

    @property
    def idempotent(self):
        """Whether running it twice has the effect of running it once."""
        return self.method in IDEMPOTENT_METHODS

    @property
    def claimed(self):
        """Whether it needs a claim before it runs."""
        return bool(self.idempotency_key) and not self.idempotent

    @property
    def route(self):
        """Method and path without query, the unit of learned durations."""
        return f'{self.method} {self.target.partition("?")[0]}'
