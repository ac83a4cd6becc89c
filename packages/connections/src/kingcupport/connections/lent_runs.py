"""Requests that run here for connections that moved to another agent."""

from kingcupport.requests import answer as answer_module
from kingcupport.wire import handoff_messages

# The new owner asks again within this time after the handoff and after the
# request's deadline, whichever is later: an answer may wait behind slower
# ones of its connection past its own deadline.
ANSWER_KEPT_MS = 30_000


class LentRuns:
    """Keeps the answers of such requests until the new owner has them.

    Args:
        name: Name of this agent.
        keeper: Object with ``fleet``.
        clock: Clock.
    """

    def __init__(self, name, keeper, clock):
        self._name = name
        self._keeper = keeper
        self._clock = clock
        self._runs = {}

    def handlers(self):
        """Return the handlers for the peer server."""
        return {handoff_messages.AnswerFetch: self.on_fetch}

    @property
    def running_count(self):
        """Number of requests without an answer yet."""
        self._forget_old()
        return sum(not run.result.ready() for run in self._runs.values())

    @property
    def unfetched_count(self):
        """Number of requests whose answer the new owner does not have."""
        self._forget_old()
        return sum(not run.fetched for run in self._runs.values())

    def add(self, pending):
        """Keep requests that are about to be handed over.

        Args:
            pending: PendingRequest that have been started here.
        """
        self._forget_old()
        now_ms = self._clock.monotonic_ms()
        for item in pending:
            # If the connection had come back here, the first entry has the
            # run, and the new one waits for it by way of another agent.
            run = self._runs.setdefault(
                item.request.request_id, _LentRun(item)
            )
            run.lend(now_ms)

    def discard(self, pending):
        """Forget requests whose connection stayed here."""
        for item in pending:
            run = self._runs.get(item.request.request_id)
            if run is not None and run.result is item.result:
                del self._runs[item.request.request_id]

    def on_fetch(self, message, peer):
        """Return an AnswerFetched."""
        run = self._runs.get(message.request_id)
        if run is None:
            return self._reply(message.request_id, known=False, answer=None)
        if not run.result.ready():
            return self._reply(message.request_id, known=True, answer=None)
        run.fetched = True
        return self._reply(
            message.request_id, known=True, answer=run.result.get()
        )

    def _reply(self, request_id, known, answer):
        ready = answer is not None
        return handoff_messages.AnswerFetched(
            sender=self._name,
            revision=self._keeper.fleet.revision,
            request_id=request_id,
            known=known,
            ready=ready,
            status=answer.status if ready else 0,
            headers=[list(pair) for pair in answer.headers] if ready else [],
            body=answer.body if ready else b'',
            outcome=str(answer.outcome) if ready else '',
        )

    def _forget_old(self):
        now_ms = self._clock.monotonic_ms()
        old = [
            request_id
            for request_id, run in self._runs.items()
            if now_ms >= run.kept_until_ms
        ]
        for request_id in old:
            del self._runs[request_id]


class _LentRun:
    """One request that runs here for another agent's connection."""

    def __init__(self, pending):
        self.result = pending.result
        self._deadline_ms = pending.request.deadline_ms
        self.kept_until_ms = 0
        self.fetched = False

    def lend(self, now_ms):
        """Keep the answer for another new owner."""
        self.kept_until_ms = max(now_ms, self._deadline_ms) + ANSWER_KEPT_MS
        self.fetched = False


def answer_from_message(message):
    """Return the Answer in an AnswerFetched that is ready."""
    return answer_module.Answer(
        message.status,
        tuple((bytes(n), bytes(v)) for n, v in message.headers),
        message.body,
        answer_module.Outcome(message.outcome),
    )
