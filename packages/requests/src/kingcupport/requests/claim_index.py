"""Index of the claims that one agent knows.

An agent knows a claim as the key's agent, as the holder, or as the
second-ranked agent, which keeps a copy.
"""

import heapq
import itertools

from kingcupport.common import errors
from kingcupport.requests import claim_placement

# At 8 keyed requests per second and host and a retention time of 900 s, an
# agent knows about 14,400 claims: 7,200 as holder and 7,200 as key's agent.
DEFAULT_MAX_CLAIMS = 32_768
# Stale expiry entries that may accumulate before a clean-up.
MAX_STALE_EXPIRY_ENTRIES = 1024
# 20,000 claims with keys of 255 bytes take less than 8 MB, half a frame.
CLAIMS_PER_PAGE = 20_000


class ClaimIndexFullError(errors.KingcupportError):
    """The index has no room for another claim."""

    code = 'claim_index_full'


class ClaimIndex:
    """Claims by key, kept until their retention deadline.

    A key may have several records: a release can be lost, and a rebuild can
    restore a released attempt. No order between them is assumed; the key is
    free once all of them have been released by their holders.

    Args:
        clock: Clock for the retention deadlines.
        max_claims: Maximum number of records.
    """

    def __init__(self, clock, max_claims=DEFAULT_MAX_CLAIMS):
        self._clock = clock
        self._max_claims = max_claims
        self._by_key = {}
        self._count = 0
        self._expiry = []
        self._sequence = itertools.count()

    def __len__(self):
        """Return the number of records."""
        self._expire()
        return self._count

    @property
    def full(self):
        """Whether the maximum number of records is reached."""
        return len(self) >= self._max_claims

    def records(self, key):
        """Return the records of a key, the latest expiry first."""
        self._expire()
        records = self._by_key.get(key, ())
        return sorted(records, key=lambda r: r.expires_ms, reverse=True)

    def claim(self, record):
        """Record an attempt unless another attempt holds the key.

        Args:
            record: ClaimRecord of the attempt.

        Returns:
            The ClaimRecord in force: the given one, the known record of the
            same attempt, or the record of another attempt that holds the key.

        Raises:
            ClaimIndexFullError: The key is free and the index is full.
        """
        records = self.records(record.key)
        same = [r for r in records if r.attempt == record.attempt]
        if same or records:
            return (same or records)[0]
        self.merge(record)
        return record

    def merge(self, record):
        """Add a record, also when other attempts hold the key.

        A record of the same attempt with a lower version is replaced.

        Args:
            record: ClaimRecord, for example from a peer.

        Raises:
            ClaimIndexFullError: The index is full.
        """
        records = self._by_key.get(record.key, ())
        same = [r for r in records if r.attempt == record.attempt]
        if same and same[0].version >= record.version:
            return
        if not same and self.full:
            raise ClaimIndexFullError(
                f'{self._max_claims} claims are kept',
                step='merge_claim',
            )
        others = tuple(
            r
            for r in self._by_key.get(record.key, ())
            if r.attempt != record.attempt
        )
        self._by_key[record.key] = (*others, record)
        self._count += 0 if same else 1
        entry = (record.expires_ms, next(self._sequence), record)
        heapq.heappush(self._expiry, entry)
        if len(self._expiry) > 2 * self._count + MAX_STALE_EXPIRY_ENTRIES:
            self._remove_stale_entries()

    def release(self, key, attempt):
        """Remove an attempt that did not run and will not run."""
        records = self._by_key.get(key, ())
        kept = tuple(r for r in records if r.attempt != attempt)
        self._count -= len(records) - len(kept)
        if kept:
            self._by_key[key] = kept
        else:
            self._by_key.pop(key, None)

    def records_for_agent(self, agent, active, after_key=''):
        """Return one page of the records that an agent must know.

        Two agents must know each claim: the key's agent and the holder. If
        the holder is the key's agent or has left, the second-ranked agent
        takes its place.

        Args:
            agent: Name of the agent.
            active: Names of the hosts among which keys are placed.
            after_key: Key after which the page starts.

        Returns:
            Pair of a list of ClaimRecord in key order and whether another
            page follows.
        """
        self._expire()
        keys = heapq.nsmallest(
            CLAIMS_PER_PAGE + 1,
            (
                key
                for key, records in self._by_key.items()
                if key > after_key and _must_know(agent, key, records, active)
            ),
        )
        page = keys[:CLAIMS_PER_PAGE]
        found = [record for key in page for record in self._by_key[key]]
        return found, len(keys) > len(page)

    def all_records(self):
        """Return a list of all records."""
        self._expire()
        return [r for records in self._by_key.values() for r in records]

    def _remove_stale_entries(self):
        """Remove the expiry entries of records that were released."""
        self._expiry = [
            entry
            for entry in self._expiry
            if entry[2] in self._by_key.get(entry[2].key, ())
        ]
        heapq.heapify(self._expiry)

    def _expire(self):
        now_ms = self._clock.monotonic_ms()
        while self._expiry and self._expiry[0][0] <= now_ms:
            _, _, record = heapq.heappop(self._expiry)
            if record in self._by_key.get(record.key, ()):
                self.release(record.key, record.attempt)


def _must_know(agent, key, records, active):
    if any(record.holder == agent for record in records):
        return True
    ranked = claim_placement.rank_hosts(key, active)[:2]
    if agent not in ranked:
        return False
    if agent == ranked[0]:
        return True
    return any(
        r.holder == ranked[0] or r.holder not in active for r in records
    )
