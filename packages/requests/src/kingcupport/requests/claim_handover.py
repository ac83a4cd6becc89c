"""Gives a draining agent's claims and results to its peers."""

import collections
import logging

import attrs

from kingcupport.control import peer_caller
from kingcupport.requests import answer as answer_module
from kingcupport.requests import claim_index
from kingcupport.requests import claim_placement
from kingcupport.requests import claim_record
from kingcupport.requests import keyed_results
from kingcupport.wire import claim_messages

LOG = logging.getLogger(__name__)

CALL_TIMEOUT_MS = 1000
# Under half a frame, so that one answer of 4 MB still fits.
BATCH_BYTES = 4 * 1024 * 1024


class ClaimHandover:
    """Sends and receives records of a draining agent.

    Args:
        context: ClaimContext.
        index: ClaimIndex.
        results: KeyedResults.
        rebuild: ClaimRebuild.
    """

    def __init__(self, context, index, results, rebuild):
        self._context = context
        self._index = index
        self._results = results
        self._rebuild = rebuild
        self._in_order = False

    def send_all(self, deadline_ms):
        """Hand every record over and say farewell.

        To be called when this agent neither claims nor runs anything. A peer
        that was not reached later counts this agent as lost.

        Args:
            deadline_ms: Deadline for all calls.

        Returns:
            Names of the peers that did not take the farewell.
        """
        name = self._context.name
        peers = [p for p in self._rebuild.view.names if p != name]
        active = [p for p in self._rebuild.view.active if p != name]
        self._in_order = self._rebuild.begin_farewell()
        self._send_results(active, deadline_ms)
        failed = [
            peer
            for peer in peers
            if not self._send_claims(peer, active, deadline_ms)
        ]
        if not failed:
            message = self._message(farewell=True, delivered=True)
            for peer in peers:
                self._call(peer, message, deadline_ms)
        LOG.info('claim_farewell', extra={'failed': ','.join(failed)})
        return failed

    def receive(self, message):
        """Take over records from a draining agent.

        Returns:
            Attempts that this agent now knows.

        Raises:
            ValueError: A record has another shape.
        """
        now_ms = self._context.now_ms()
        accepted = []
        for plain in message.claims:
            record = claim_record.record_from_plain(plain, now_ms)
            if self._merge(record):
                accepted.append(record.attempt)
        for plain, status, headers, body in message.results:
            record = claim_record.record_from_plain(plain, now_ms)
            if self._adopt(record, status, headers, body):
                accepted.append(record.attempt)
        if message.farewell:
            self._rebuild.on_farewell(message)
        return accepted

    def _merge(self, record):
        try:
            self._index.merge(record)
        except claim_index.ClaimIndexFullError:
            return False
        return True

    def _adopt(self, record, status, headers, body):
        context = self._context
        taken = attrs.evolve(
            record,
            holder=context.name,
            holder_incarnation=context.incarnation,
            version=record.version + 1,
        )
        held = keyed_results.HeldAttempt(
            record.key, record.fingerprint, record.attempt
        )
        held.version = taken.version
        held.expires_ms = record.expires_ms
        held.state = keyed_results.HeldState.UNKNOWN
        held.size_bytes = keyed_results.OVERHEAD_BYTES
        if status:
            pairs = tuple((bytes(n), bytes(v)) for n, v in headers)
            held.answer = answer_module.Answer(status, pairs, body)
            held.state = keyed_results.HeldState.ANSWERED
            held.size_bytes += keyed_results.answer_bytes(held.answer)
        present = self._results.get(record.key)
        if present is not None and present.attempt == record.attempt:
            return True
        return self._results.adopt(held) and self._merge(taken)

    def _send_results(self, active, deadline_ms):
        by_peer = collections.defaultdict(list)
        for held in self._results.held():
            key_agent = claim_placement.find_key_agent(held.key, active)
            if key_agent and held.decided.is_set():
                by_peer[key_agent].append(held)
        for first, batch in by_peer.items():
            others = [p for p in active if p != first]
            for part in _batches(batch):
                self._send_part(part, [first, *others], deadline_ms)

    def _send_part(self, part, peers, deadline_ms):
        """Give one batch of results to the first peers that take them.

        The key's next agent learns from its peers when another one became
        the holder.
        """
        left = list(part)
        for peer in peers:
            message = self._message(
                results=[self._result_to_plain(held) for held in left]
            )
            accepted = self._call(peer, message, deadline_ms) or ()
            left = [held for held in left if held.attempt not in accepted]
            if not left:
                return
        LOG.warning('claim_handover', extra={'lost_results': len(left)})

    def _send_claims(self, peer, active, deadline_ms):
        after_key = ''
        while True:
            records, more = self._index.concerning(peer, active, after_key)
            now_ms = self._context.now_ms()
            message = self._message(
                claims=[
                    claim_record.record_to_plain(r, now_ms) for r in records
                ],
                farewell=not more,
            )
            accepted = self._call(peer, message, deadline_ms)
            if accepted is None or len(accepted) < len(records):
                return False
            if not more:
                return True
            after_key = records[-1].key

    def _message(
        self,
        *,
        claims=(),
        results=(),
        farewell=False,
        delivered=False,
    ):
        context = self._context
        return claim_messages.ClaimHandover(
            sender=context.name,
            revision=context.revision,
            incarnation=context.incarnation,
            claims=list(claims),
            results=list(results),
            farewell=farewell,
            delivered=delivered,
            in_order=self._in_order,
            members=[list(m) for m in self._rebuild.view.members],
            fences=self._rebuild.fences(),
        )

    def _call(self, peer, message, deadline_ms):
        """Return the accepted attempts, or None without a reply."""
        call_deadline_ms = self._context.now_ms() + CALL_TIMEOUT_MS
        call_deadline_ms = min(deadline_ms, call_deadline_ms)
        try:
            reply = self._context.caller.call(peer, message, call_deadline_ms)
        except peer_caller.PeerError:
            return None
        return set(reply.accepted)

    def _result_to_plain(self, held):
        context = self._context
        record = claim_record.ClaimRecord(
            key=held.key,
            fingerprint=held.fingerprint,
            attempt=held.attempt,
            holder=context.name,
            holder_incarnation=context.incarnation,
            version=held.version,
            expires_ms=held.expires_ms,
        )
        plain = claim_record.record_to_plain(record, context.now_ms())
        if held.answer is None:
            return [plain, 0, [], b'']
        headers = [list(pair) for pair in held.answer.headers]
        return [plain, held.answer.status, headers, held.answer.body]


def _batches(held_attempts):
    batch, size_bytes = [], 0
    for held in held_attempts:
        if batch and size_bytes + held.size_bytes > BATCH_BYTES:
            yield batch
            batch, size_bytes = [], 0
        batch.append(held)
        size_bytes += held.size_bytes
    if batch:
        yield batch
