"""Tests the bytes of answers."""

from kingcupport.connections import http_answers
from kingcupport.requests import answer as answer_module


def _format(method='GET', version='1.1', keep_alive=True, **fields):
    values = {'status': 200, 'headers': (), 'body': b'abc', **fields}
    return http_answers.format_answer(
        answer_module.Answer(**values), method, version, keep_alive
    )


def test_headers_of_one_hop_are_replaced():
    """Guards against framing headers copied from the backend server."""
    data = _format(
        headers=(
            (b'transfer-encoding', b'chunked'),
            (b'content-length', b'77'),
            (b'connection', b'close'),
            (b'x-kept', b'1'),
        )
    )
    head, body = data.split(b'\r\n\r\n')
    assert body == b'abc'
    assert b'Content-Length: 3' in head
    assert b'x-kept: 1' in head
    assert b'chunked' not in head
    assert b'close' not in head


def test_head_gets_the_length_without_the_body():
    """Guards against a body that the caller parses as the next answer."""
    data = _format(method='HEAD')
    assert data.endswith(b'\r\n\r\n')
    assert b'Content-Length: 3' in data


def test_last_answer_says_that_the_connection_closes():
    """Guards against callers that send more after the last answer."""
    assert b'Connection: close' in _format(keep_alive=False)
