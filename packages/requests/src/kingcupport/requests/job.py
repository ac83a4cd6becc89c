"""State of one accepted request until it is answered."""

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
        expected_ms: Expected duration of its run, from its route.
        long: Whether its route takes many times the median duration.
        result: Receives the Answer, which is set once.
        task: Task that runs it, transfers it to a peer or waits for a
            permit.
        permit: Permit for long work that it holds, or None.
        slot_granted: Event that starts a prefetched request, or None if the
            request was not prefetched.
        started: Whether a run on this agent's server has begun.
        may_have_run: Whether an earlier attempt may have run.
        queue_number: Order among jobs with the same key, 0 before the first
            push. A job that is queued again keeps its number.
        attempts: Number of failed attempts. A transferred request starts at
            the maximum, because only the sending agent retries it.
    """

    request: request_module.Request
    arrival_ms: float
    expected_ms: float
    long: bool = False
    result: event.AsyncResult = attrs.field(factory=event.AsyncResult)
    task: object = None
    permit: object = None
    slot_granted: event.Event | None = None
    started: bool = False
    may_have_run: bool = False
    queue_number: int = 0
    attempts: int = 0

    def finish(self, result):
        """Set the answer unless it is already set.

        Args:
            result: The Answer. Its outcome ``not-run`` is replaced by
                ``unknown`` if an earlier attempt may have run.
        """
        if self.result.ready():
            return
        if self.may_have_run and result.outcome == answer.Outcome.NOT_RUN:
            result = answer.make_refusal(
                answer.Outcome.UNKNOWN, 'an earlier attempt may have run'
            )
        self.result.set(result)
