"""One accepted request until its answer."""

import attrs
from gevent import event

from kingcupport.requests import answer
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
        uncertain: Whether an earlier attempt may have run.
        queue_number: Place among jobs with the same key, 0 before the first
            push; a job that comes back keeps its place.
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
    uncertain: bool = False
    queue_number: int = 0
    attempts: int = 0

    def finish(self, result):
        """Set the answer unless there is one.

        Args:
            result: The Answer. After an attempt that may have run, ``not-run``
                becomes ``unknown``.
        """
        if self.result.ready():
            return
        if self.uncertain and result.outcome == answer.Outcome.NOT_RUN:
            result = answer.make_refusal(
                answer.Outcome.UNKNOWN, 'an earlier attempt may have run'
            )
        self.result.set(result)
