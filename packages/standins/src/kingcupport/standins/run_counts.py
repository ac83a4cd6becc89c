"""Run counts of a backend server stand-in."""

import collections


class RunCounts:
    """Counts runs by key and request identifier, and requests by outcome."""

    def __init__(self):
        self._by_key = collections.Counter()
        self._by_request_id = collections.Counter()
        self._by_outcome = collections.Counter()
        self._busy_ms = 0.0

    def started(self, request_id, idempotency_key):
        """Count the start of a run."""
        self._by_request_id[request_id] += 1
        if idempotency_key:
            self._by_key[idempotency_key] += 1

    def ended(self, outcome, busy_ms=0):
        """Count the end of a request.

        Args:
            outcome: ``completed``, ``cancelled``, ``deadline``, ``shed`` or
                another outcome defined by the server.
            busy_ms: Time for which the request occupied a slot.
        """
        self._by_outcome[outcome] += 1
        self._busy_ms += busy_ms

    def to_plain(self):
        """Return the counts as a JSON object."""
        return {
            'by_key': dict(self._by_key),
            'by_request_id': dict(self._by_request_id),
            'by_outcome': dict(self._by_outcome),
            'busy_ms': self._busy_ms,
        }
