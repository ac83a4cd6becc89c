"""Answers to callers' requests."""

import enum

import attrs

OUTCOME_HEADER = b'kingcupport-outcome'


class Outcome(enum.StrEnum):
    """Whether the request is known to have run on a server."""

    RAN = 'ran'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


@attrs.define
class Answer:
    """A complete HTTP answer.

    Args:
        status: HTTP status code.
        headers: Tuple of ``(name, value)`` byte pairs.
        body: The complete body.
        outcome: An Outcome value; ``ran`` for a backend server's answer.
    """

    status: int
    headers: tuple
    body: bytes
    outcome: str = Outcome.RAN


def make_refusal(outcome, reason, retry_after_s=1):
    """Return the answer to a request that no server has answered.

    Args:
        outcome: ``NOT_RUN`` (503 with Retry-After) or ``UNKNOWN`` (504).
        reason: Text for the caller, one line.
        retry_after_s: Seconds after which a retry may succeed.
    """
    headers = [
        (b'content-type', b'text/plain; charset=utf-8'),
        (OUTCOME_HEADER, outcome.value.encode()),
    ]
    status = 504
    if outcome == Outcome.NOT_RUN:
        status = 503
        headers.append((b'retry-after', str(retry_after_s).encode()))
    return Answer(status, tuple(headers), reason.encode() + b'\n', outcome)
