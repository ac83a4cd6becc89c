"""Tests how a caller's headers set the fields of its request."""

import pytest

from kingcupport.connections import http_requests
from kingcupport.connections import request_factory

NOW_MS = 1_000
DEFAULT_MS = 10_000


def _make(*headers):
    parsed = http_requests.ParsedRequest(
        'POST', '/book', headers, b'', '1.1', True
    )
    return request_factory.make_request(parsed, 'r', DEFAULT_MS, NOW_MS)


@pytest.mark.parametrize(
    ('value', 'timeout_ms'),
    [
        (b'250', 250),
        (b'0', 1),
        (b'-5', DEFAULT_MS),
        (b'1.5', DEFAULT_MS),
        (b'9' * 9, request_factory.MAX_TIMEOUT_MS),
        (b'9' * 5000, DEFAULT_MS),
    ],
)
def test_timeout_becomes_a_bounded_deadline(value, timeout_ms):
    request = _make((b'kingcupport-timeout-ms', value))
    assert request.deadline_ms == NOW_MS + timeout_ms


def test_long_keys_stay_different():
    """Guards against merging the bookings of two callers.

    Truncated keys were equal, so both bookings became one request.
    """
    keys = [b'k' * 300 + suffix for suffix in (b'1', b'2')]
    first, second = (_make((b'idempotency-key', key)) for key in keys)
    assert first.idempotency_key != second.idempotency_key
