"""Attempts held by this agent, with their answers."""

import enum
import heapq
import itertools

import attrs
from gevent import event

# Holds 7,200 answers of 4 KB: 8 per second over a retention time of 900 s.
DEFAULT_MAX_RESULT_BYTES = 32 * 1024 * 1024
# Reserved for each pending answer. A larger answer that does not fit is still
# delivered to its caller, but retries of the request get "outcome unknown".
RESERVED_ANSWER_BYTES = 16 * 1024
# Python objects per kept answer; see bench/claim_cost.py.
ANSWER_OVERHEAD_BYTES = 1024


class HeldState(enum.StrEnum):
    """Progress of an attempt at its holder."""

    CLAIMING = 'claiming'
    RUNNING = 'running'
    ANSWERED = 'answered'
    UNKNOWN = 'unknown'
    RELEASED = 'released'


@attrs.define(eq=False)
class HeldAttempt:
    """One attempt under a key.

    Args:
        key: The ``Idempotency-Key``.
        fingerprint: Digest of the request.
        attempt: Unique identifier of the attempt.
        state: A HeldState.
        answer: The Answer, or None while there is none.
        size_bytes: Bytes counted against the limit on result bytes.
        version: Version of the claim, incremented by each handover.
        expires_ms: Monotonic retention deadline, set once the attempt is
            answered or its outcome is unknown.
        decided: Event, set once the attempt is answered, unknown or released.
    """

    key: str
    fingerprint: bytes
    attempt: str
    state: HeldState = HeldState.CLAIMING
    answer: object = None
    size_bytes: int = 0
    version: int = 0
    expires_ms: float = 0
    decided: event.Event = attrs.field(factory=event.Event)


class KeyedResults:
    """Stores held attempts by key, and answers until they expire.

    Args:
        clock: Clock for the retention deadlines.
        max_bytes: Limit on the bytes of kept and pending answers.
    """

    def __init__(self, clock, max_bytes=DEFAULT_MAX_RESULT_BYTES):
        self._clock = clock
        self._max_bytes = max_bytes
        self._by_key = {}
        self._expiry = []
        self._sequence = itertools.count()
        self._used_bytes = 0

    @property
    def used_bytes(self):
        """Bytes of kept answers and of space reserved for pending ones."""
        self._expire()
        return self._used_bytes

    def get(self, key):
        """Return the HeldAttempt of a key, or None."""
        self._expire()
        return self._by_key.get(key)

    def held(self):
        """Return all held attempts."""
        self._expire()
        return list(self._by_key.values())

    def begin(self, key, fingerprint, attempt):
        """Store and return a new HeldAttempt in state ``claiming``."""
        held = HeldAttempt(key, fingerprint, attempt)
        self._by_key[key] = held
        return held

    def start(self, held):
        """Reserve space for the answer and mark the attempt as running.

        Returns:
            False if there is not enough space; the attempt must not run.
        """
        self._expire()
        if self._used_bytes + RESERVED_ANSWER_BYTES > self._max_bytes:
            return False
        held.state = HeldState.RUNNING
        self._resize(held, RESERVED_ANSWER_BYTES)
        return True

    def keep_answer(self, held, answer, expires_ms):
        """Keep an answer until its retention deadline.

        Returns:
            False if there is not enough space; the attempt is then kept with
            an unknown outcome.
        """
        size_bytes = ANSWER_OVERHEAD_BYTES + answer_bytes(answer)
        others_bytes = self._used_bytes - held.size_bytes
        if others_bytes + size_bytes > self._max_bytes:
            self.keep_unknown(held, expires_ms)
            return False
        self._resize(held, size_bytes)
        self._decide(held, HeldState.ANSWERED, answer, expires_ms)
        return True

    def keep_unknown(self, held, expires_ms):
        """Record that the attempt may have run, until ``expires_ms``."""
        self._resize(held, min(held.size_bytes, ANSWER_OVERHEAD_BYTES))
        self._decide(held, HeldState.UNKNOWN, None, expires_ms)

    def adopt(self, held):
        """Take over a decided attempt from another agent.

        Returns:
            False if there is not enough space or the key is already held.
        """
        self._expire()
        fits = self._used_bytes + held.size_bytes <= self._max_bytes
        if not fits or held.key in self._by_key:
            return False
        self._by_key[held.key] = held
        self._used_bytes += held.size_bytes
        self._decide(held, held.state, held.answer, held.expires_ms)
        return True

    def release(self, held):
        """Remove an attempt that did not run."""
        if self._by_key.get(held.key) is held:
            del self._by_key[held.key]
        self._resize(held, 0)
        held.state = HeldState.RELEASED
        held.decided.set()

    def _decide(self, held, state, answer, expires_ms):
        held.state = state
        held.answer = answer
        held.expires_ms = expires_ms
        entry = (expires_ms, next(self._sequence), held)
        heapq.heappush(self._expiry, entry)
        held.decided.set()

    def _resize(self, held, size_bytes):
        self._used_bytes += size_bytes - held.size_bytes
        held.size_bytes = size_bytes

    def _expire(self):
        now_ms = self._clock.monotonic_ms()
        while self._expiry and self._expiry[0][0] <= now_ms:
            _, _, held = heapq.heappop(self._expiry)
            if self._by_key.get(held.key) is held:
                del self._by_key[held.key]
                self._resize(held, 0)


def answer_bytes(answer):
    """Return the size of an answer's body and headers."""
    headers = sum(len(n) + len(v) for n, v in answer.headers)
    return len(answer.body) + headers
