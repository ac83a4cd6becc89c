"""Makes a Request from the HTTP request that a caller sent."""

from kingcupport.requests import request as request_module

TIMEOUT_HEADER = b'kingcupport-timeout-ms'
IDEMPOTENCY_HEADER = b'idempotency-key'
MAX_TIMEOUT_MS = 600_000
_MAX_TIMEOUT_DIGITS = 9


def make_request(parsed, request_id, default_timeout_ms, now_ms):
    """Return the Request for a ParsedRequest.

    Args:
        parsed: The ParsedRequest.
        request_id: Unique text.
        default_timeout_ms: Time that it may take when the caller states
            none.
        now_ms: Monotonic time.
    """
    headers = dict(parsed.headers)
    timeout_ms = _parse_timeout(
        headers.get(TIMEOUT_HEADER), default_timeout_ms
    )
    # The whole key: a cut one could be equal to another caller's.
    key = headers.get(IDEMPOTENCY_HEADER, b'')
    return request_module.Request(
        request_id=request_id,
        method=parsed.method,
        target=parsed.target,
        headers=parsed.headers,
        body=parsed.body,
        idempotency_key=key.decode('latin-1'),
        deadline_ms=now_ms + timeout_ms,
    )


def _parse_timeout(value, default_timeout_ms):
    if (
        value is None
        or not value.isdigit()
        or len(value) > _MAX_TIMEOUT_DIGITS
    ):
        return default_timeout_ms
    return min(max(int(value), 1), MAX_TIMEOUT_MS)
