"""Answer bodies that let callers detect misrouted and incomplete answers.

The first line is a JSON object that identifies request and server. The rest
is filler derived from the request identifier and the server name.
"""

import hashlib
import json

import attrs

from kingcupport.common import errors

_LINE_END = b'\n'


class EchoError(errors.KingcupportError):
    """An answer is incomplete or belongs to another request."""

    code = 'wrong_answer'


@attrs.frozen
class Echo:
    """Identification of request and server in an answer.

    Args:
        service: Service of the backend server that ran the request.
        server: Name of that backend server.
        request_id: The request's ``X-Request-Id``.
        target: The request's target.
        body_digest: Digest of the request's body, from ``compute_digest``.
        filler_bytes: Length of the filler in bytes.
    """

    service: str
    server: str
    request_id: str
    target: str
    body_digest: str
    filler_bytes: int = 0


def compute_digest(body):
    """Return the digest of a body, 32 hex digits."""
    return hashlib.sha256(body).hexdigest()[:32]


def make_body(echo):
    """Return the body of an answer for an Echo."""
    line = json.dumps(attrs.asdict(echo), separators=(',', ':')).encode()
    return line + _LINE_END + _filler(echo)


def _filler(echo):
    pattern = f'{echo.request_id}/{echo.server};'.encode()
    repeats = echo.filler_bytes // len(pattern) + 1
    return (pattern * repeats)[: echo.filler_bytes]


def read_body(body):
    """Parse an answer's body and check that it is complete.

    Returns:
        The Echo.

    Raises:
        EchoError: The body was not made by ``make_body`` or is incomplete.
    """
    line, _, filler = body.partition(_LINE_END)
    try:
        echo = Echo(**json.loads(line))
    except (ValueError, TypeError) as error:
        raise EchoError(
            f'body is not an echo: {error}', step='read_body'
        ) from None
    if filler != _filler(echo):
        raise EchoError(
            f'filler of {len(filler)} bytes does not match request '
            f'{echo.request_id!r}',
            step='read_body',
        )
    return echo


def check_echo(echo, *, service, request_id, target, body):
    """Check that an answer belongs to a request.

    Args:
        echo: Echo of the answer.
        service: Name of the requested service.
        request_id: The request's ``X-Request-Id``, or the identifiers of all
            attempts under one key; the answer may be that of any attempt.
        target: The request's target.
        body: The request's body.

    Raises:
        EchoError: A field differs.
    """
    request_ids = (request_id,) if isinstance(request_id, str) else request_id
    differences = [
        f'{name} {actual!r}'
        for name, actual, allowed in (
            ('service', echo.service, (service,)),
            ('request_id', echo.request_id, request_ids),
            ('target', echo.target, (target,)),
            ('body_digest', echo.body_digest, (compute_digest(body),)),
        )
        if actual not in allowed
    ]
    if differences:
        raise EchoError(
            f'answer has {", ".join(differences)}', step='check_echo'
        )
