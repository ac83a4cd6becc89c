"""HTTP requests of callers."""

import attrs

# RFC 9110, section 9.2.2.
IDEMPOTENT_METHODS = frozenset(
    ('GET', 'HEAD', 'OPTIONS', 'TRACE', 'PUT', 'DELETE')
)


@attrs.define
class Request:
    """A parsed HTTP request.

    Args:
        request_id: Unique identifier, assigned by the agent that parsed it.
        method: HTTP method in capitals.
        target: Request target, path and query.
        headers: Tuple of ``(name, value)`` byte pairs; names are lower case.
        body: The complete body.
        idempotency_key: Value of ``Idempotency-Key``, or an empty string.
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
        """Whether running the request twice has the effect of one run."""
        return self.method in IDEMPOTENT_METHODS

    @property
    def needs_claim(self):
        """Whether the request needs a claim before it runs."""
        return bool(self.idempotency_key) and not self.idempotent

    @property
    def route(self):
        """Method and path without query; run durations are kept per route."""
        return f'{self.method} {self.target.partition("?")[0]}'
