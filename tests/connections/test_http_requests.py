"""Tests the parsing of a byte stream into requests."""

import itertools

import hypothesis
from hypothesis import strategies
import pytest

from kingcupport.connections import http_requests

_STREAM = (
    b'GET /1 HTTP/1.1\r\nHost: a\r\n\r\n'
    b'POST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc'
    b'POST /3 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n'
    b'2\r\nhi\r\n0\r\n\r\n'
    b'GET /4 HTTP/1.0\r\n\r\n'
)


def _read_all(parser):
    return list(iter(parser.next_request, None))


@hypothesis.settings(derandomize=True, max_examples=100, deadline=None)
@hypothesis.given(strategies.lists(strategies.integers(1, len(_STREAM) - 1)))
def test_requests_do_not_depend_on_the_cuts(cuts):
    """Guards against requests that change with the segments' bounds."""
    parser = http_requests.RequestParser()
    requests = []
    bounds = [0, *sorted(cuts), len(_STREAM)]
    for start, end in itertools.pairwise(bounds):
        moved = http_requests.RequestParser()
        moved.feed(parser.unparsed() + _STREAM[start:end])
        parser = moved
        requests += _read_all(parser)
    assert [r.target for r in requests] == ['/1', '/2', '/3', '/4']
    assert [r.body for r in requests] == [b'', b'abc', b'hi', b'']
    assert [r.keep_alive for r in requests] == [True, True, True, False]
    assert parser.idle


def test_one_request_is_taken_at_a_time():
    """Guards against exceeding the pipeline limit in the parser."""
    parser = http_requests.RequestParser()
    parser.feed(_STREAM)
    assert parser.next_request().target == '/1'
    assert parser.unparsed() == _STREAM[len(b'GET /1 HTTP/1.1Host: a') + 6 :]
    assert not parser.idle
    assert not parser.is_incomplete


@pytest.mark.parametrize(
    ('data', 'status'),
    [
        (b'CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n', 405),
        (b'GET / HTTP/9\r\n\r\n', 400),
        (b'GET / HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n', 400),
        (b'GET /' + b'x' * 20_000, 431),
    ],
)
def test_errors_carry_the_status_of_the_refusal(data, status):
    """Guards against refusals with the wrong status."""
    parser = http_requests.RequestParser()
    parser.feed(data)
    with pytest.raises(http_requests.HttpRequestError) as caught:
        parser.next_request()
    assert caught.value.status == status


def test_chunked_body_beyond_the_limit_is_refused():
    """Guards against unlimited bodies without a Content-Length."""
    parser = http_requests.RequestParser()
    parser.feed(
        b'POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n'
    )
    parser.feed(b'\r\n')
    chunk = b'2000\r\n' + b'x' * 0x2000 + b'\r\n'
    with pytest.raises(http_requests.HttpRequestError) as caught:
        for _ in range(200):
            parser.feed(chunk)
            assert parser.next_request() is None
    assert caught.value.status == 413
