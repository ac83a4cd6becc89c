"""One accepted request until its answer."""

import attrs
from gevent import event

from kingcupport.requests import request as request_module


@attrs.define(eq=False)
class Job:
    """A request that a scheduler has accepted.

    Args:
        request: The Request.
        arrival_ms: When it was accepted, on the monotonic clock.
        expected_ms: Learned duration of its route.
        long: Whether its route takes many times the typical request.
        result: Receives the one Answer.
        task: Task that runs it, hands it over or waits for a permit.
        permit: Permit that it holds, or None.
        turn: Event that starts a request taken ahead of its slot, or None.
        started: Whether a run on this agent's server was begun.
        attempts: Number of runs that were begun.
    """

    request: request_module.Request
    arrival_ms: float
    expected_ms: float
    long: bool = False
    result: event.AsyncResult = attrs.field(factory=event.AsyncResult)
    task: object = None
    permit: object = None
    turn: event.Event | None = None
    started: bool = False
    attempts: int = 0
