"""The answer to a caller's request."""

import enum

import attrs

OUTCOME_HEADER = b'kingcupport-outcome'


class Outcome(enum.StrEnum):
    """What is known about whether the request ran."""

    RAN = 'ran'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


@attrs.define
class Answer:
    """One whole HTTP answer.

    Args:
        status: HTTP status code.
        headers: Tuple of ``(name, value)`` byte pairs.
        body: The whole body.
        outcome: An Outcome value; ``ran`` for a backend server's answer.
    """

    status: int
    headers: tuple
    body: bytes
    outcome: str = Outcome.RAN


def make_refusal(outcome, reason, retry_after_s=1):
    """Return the answer for a request that gets none from a server.

    Args:
        outcome: ``NOT_RUN`` (503 with Retry-After) or ``UNKNOWN`` (504).
        reason: One line for the caller.
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
