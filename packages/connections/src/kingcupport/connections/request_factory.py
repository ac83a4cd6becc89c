"""Converts a caller's HTTP request into a Request."""

from kingcupport.requests import request as request_module

TIMEOUT_HEADER = b'kingcupport-timeout-ms'
IDEMPOTENCY_HEADER = b'idempotency-key'
MAX_TIMEOUT_MS = 600_000
_MAX_TIMEOUT_DIGITS = 9


def make_request(parsed, request_id, default_timeout_ms, now_ms):
    """Return the Request for a ParsedRequest.

    Args:
        parsed: The ParsedRequest.
        request_id: Unique id of the request.
        default_timeout_ms: Time that the request may take if the caller
            specifies none.
        now_ms: Monotonic time in ms.
    """
    headers = dict(parsed.headers)
    timeout_ms = _parse_timeout(
        headers.get(TIMEOUT_HEADER), default_timeout_ms
    )
    # The key is not truncated: a truncated key could equal another caller's.
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
