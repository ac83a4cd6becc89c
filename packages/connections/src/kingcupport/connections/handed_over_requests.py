"""Requests of handed-over connections that still run on this agent."""

from kingcupport.requests import answer as answer_module
from kingcupport.wire import handoff_messages

# Counted from the handoff or the request's deadline, whichever is later. The
# new owner fetches within this time: an answer may wait past its own deadline
# for slower ones that precede it on its connection.
ANSWER_RETENTION_MS = 30_000


class HandedOverRequests:
    """Keeps the answers of these requests for the new owners to fetch.

    Args:
        name: Name of this agent.
        registry: Object with ``fleet``.
        clock: Clock.
    """

    def __init__(self, name, registry, clock):
        self._name = name
        self._registry = registry
        self._clock = clock
        self._requests = {}

    def handlers(self):
        """Return the handlers of the peer server by message class."""
        return {handoff_messages.AnswerFetch: self.on_fetch}

    @property
    def running_count(self):
        """Number of requests without an answer yet."""
        self._drop_expired()
        return sum(
            not entry.result.ready() for entry in self._requests.values()
        )

    @property
    def unfetched_count(self):
        """Number of requests whose answer has not been fetched."""
        self._drop_expired()
        return sum(not entry.fetched for entry in self._requests.values())

    def add(self, pending):
        """Register requests whose connection is about to be handed over.

        Args:
            pending: Iterable of PendingRequest that were started here.
        """
        self._drop_expired()
        now_ms = self._clock.monotonic_ms()
        for item in pending:
            # If the connection was handed back to this agent in between, the
            # first entry belongs to the running request; the new one fetches
            # its answer through another agent.
            entry = self._requests.setdefault(
                item.request.request_id, _HandedOverRequest(item)
            )
            entry.extend_retention(now_ms)

    def discard(self, pending):
        """Remove requests whose connection was not handed over."""
        for item in pending:
            entry = self._requests.get(item.request.request_id)
            if entry is not None and entry.result is item.result:
                del self._requests[item.request.request_id]

    def on_fetch(self, message, peer):
        """Return the AnswerFetched for an AnswerFetch.

        Args:
            message: The AnswerFetch.
            peer: Name of the calling process.
        """
        entry = self._requests.get(message.request_id)
        if entry is None:
            return self._reply(message.request_id, known=False, answer=None)
        if not entry.result.ready():
            return self._reply(message.request_id, known=True, answer=None)
        entry.fetched = True
        return self._reply(
            message.request_id, known=True, answer=entry.result.get()
        )

    def _reply(self, request_id, known, answer):
        ready = answer is not None
        return handoff_messages.AnswerFetched(
            sender=self._name,
            revision=self._registry.fleet.revision,
            request_id=request_id,
            known=known,
            ready=ready,
            status=answer.status if ready else 0,
            headers=[list(pair) for pair in answer.headers] if ready else [],
            body=answer.body if ready else b'',
            outcome=str(answer.outcome) if ready else '',
        )

    def _drop_expired(self):
        now_ms = self._clock.monotonic_ms()
        old = [
            request_id
            for request_id, entry in self._requests.items()
            if now_ms >= entry.expires_ms
        ]
        for request_id in old:
            del self._requests[request_id]


class _HandedOverRequest:
    """A request that runs here for a connection of another agent."""

    def __init__(self, pending):
        self.result = pending.result
        self._deadline_ms = pending.request.deadline_ms
        self.expires_ms = 0
        self.fetched = False

    def extend_retention(self, now_ms):
        """Keep the answer for a new owner, which has not fetched it yet."""
        self.expires_ms = max(now_ms, self._deadline_ms) + ANSWER_RETENTION_MS
        self.fetched = False


def answer_from_message(message):
    """Return the Answer in an AnswerFetched whose ``ready`` is true."""
    return answer_module.Answer(
        message.status,
        tuple((bytes(n), bytes(v)) for n, v in message.headers),
        message.body,
        answer_module.Outcome(message.outcome),
    )
