"""Formats answers as HTTP/1.1 responses."""

import http
import itertools

import h11

# Headers set by this module or valid for a single hop (RFC 9110, 7.6.1).
_DROPPED_HEADERS = frozenset(
    (
        b'connection',
        b'content-length',
        b'keep-alive',
        b'transfer-encoding',
        b'upgrade',
    )
)


def format_answer(answer, method, http_version, keep_alive):
    """Return the bytes of an answer on the caller's connection.

    h11 derives the framing from the request, so it is given a request head
    that is equivalent in method, version and connection handling. The result
    therefore does not depend on the process that parsed the request.

    Args:
        answer: The Answer.
        method: Method of the request; the answer to HEAD has no body.
        http_version: ``1.0`` or ``1.1``.
        keep_alive: Whether the connection stays open after the answer.
    """
    connection = h11.Connection(h11.SERVER)
    close = '' if keep_alive else 'Connection: close\r\n'
    connection.receive_data(
        f'{method} / HTTP/{http_version}\r\nHost: -\r\n{close}\r\n'.encode()
    )
    while not isinstance(connection.next_event(), h11.EndOfMessage):
        pass
    events = (_response_head(answer), *_body(answer, method))
    return b''.join(
        data for event in events if (data := connection.send(event))
    )


def _response_head(answer):
    try:
        reason = http.HTTPStatus(answer.status).phrase
    except ValueError:
        reason = ''
    forwarded_headers = (
        (name, value)
        for name, value in answer.headers
        if name.lower() not in _DROPPED_HEADERS
    )
    length = (b'Content-Length', str(len(answer.body)).encode())
    return h11.Response(
        status_code=answer.status,
        headers=list(itertools.chain(forwarded_headers, (length,))),
        reason=reason.encode(),
    )


def _body(answer, method):
    if method != 'HEAD' and answer.body:
        yield h11.Data(data=answer.body)
    yield h11.EndOfMessage()
