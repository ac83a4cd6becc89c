"""Transfer of a draining agent's claims and results to its peers."""

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
# Less than half a frame, so that a batch with one more answer of 4 MB fits.
MAX_BATCH_BYTES = 4 * 1024 * 1024


class ClaimHandover:
    """Sends and receives the records of a draining agent.

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
        self._lost_no_claims = False

    def send_all(self, deadline_ms):
        """Hand every record over and announce the departure to all peers.

        To be called once this agent neither claims keys nor runs requests. A
        peer that is not reached will count this agent's claims as lost.

        Args:
            deadline_ms: Monotonic deadline for all calls.

        Returns:
            Names of the peers that did not accept all of their records.
        """
        name = self._context.name
        peers = [p for p in self._rebuild.view.names if p != name]
        active = [p for p in self._rebuild.view.active if p != name]
        self._lost_no_claims = self._rebuild.begin_departure()
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
        """Store the records of a draining agent.

        Args:
            message: ClaimHandover from that agent.

        Returns:
            List of the attempts that this agent now knows.

        Raises:
            ValueError: A record is malformed.
        """
        now_ms = self._context.now_ms()
        accepted = []
        for plain in message.claims:
            record = claim_record.decode_record(plain, now_ms)
            if self._merge(record):
                accepted.append(record.attempt)
        for plain, status, headers, body in message.results:
            record = claim_record.decode_record(plain, now_ms)
            if self._adopt(record, status, headers, body):
                accepted.append(record.attempt)
        if message.farewell:
            self._rebuild.on_final_handover(message)
        return accepted

    def _merge(self, record):
        try:
            self._index.merge(record)
        except claim_index.ClaimIndexFullError:
            return False
        return True

    def _adopt(self, record, status, headers, body):
        context = self._context
        adopted = attrs.evolve(
            record,
            holder=context.name,
            holder_incarnation=context.incarnation,
            version=record.version + 1,
        )
        held = keyed_results.HeldAttempt(
            record.key, record.fingerprint, record.attempt
        )
        held.version = adopted.version
        held.expires_ms = record.expires_ms
        held.state = keyed_results.HeldState.UNKNOWN
        held.size_bytes = keyed_results.ANSWER_OVERHEAD_BYTES
        if status:
            pairs = tuple((bytes(n), bytes(v)) for n, v in headers)
            held.answer = answer_module.Answer(status, pairs, body)
            held.state = keyed_results.HeldState.ANSWERED
            held.size_bytes += keyed_results.answer_bytes(held.answer)
        present = self._results.get(record.key)
        if present is not None and present.attempt == record.attempt:
            return True
        return self._results.adopt(held) and self._merge(adopted)

    def _send_results(self, active, deadline_ms):
        by_peer = collections.defaultdict(list)
        for held in self._results.held():
            key_agent = claim_placement.find_key_agent(held.key, active)
            if key_agent and held.decided.is_set():
                by_peer[key_agent].append(held)
        for preferred, attempts in by_peer.items():
            others = [p for p in active if p != preferred]
            for batch in _split_batches(attempts):
                self._send_batch(batch, [preferred, *others], deadline_ms)

    def _send_batch(self, batch, peers, deadline_ms):
        """Send a batch of results; offer rejected ones to the next peer.

        A key's next agent finds the new holder in its peers' claim lists if
        that holder is another agent.
        """
        remaining = list(batch)
        for peer in peers:
            message = self._message(
                results=[self._result_to_plain(held) for held in remaining]
            )
            accepted = self._call(peer, message, deadline_ms) or ()
            remaining = [
                held for held in remaining if held.attempt not in accepted
            ]
            if not remaining:
                return
        LOG.warning('claim_handover', extra={'lost_results': len(remaining)})

    def _send_claims(self, peer, active, deadline_ms):
        after_key = ''
        while True:
            records, more = self._index.records_for_agent(
                peer, active, after_key
            )
            now_ms = self._context.now_ms()
            message = self._message(
                claims=[
                    claim_record.encode_record(r, now_ms) for r in records
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
            in_order=self._lost_no_claims,
            members=[list(m) for m in self._rebuild.view.members],
            fences=self._rebuild.fences(),
        )

    def _call(self, peer, message, deadline_ms):
        """Return the set of accepted attempts, or None without a reply."""
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
        plain = claim_record.encode_record(record, context.now_ms())
        if held.answer is None:
            return [plain, 0, [], b'']
        headers = [list(pair) for pair in held.answer.headers]
        return [plain, held.answer.status, headers, held.answer.body]


def _split_batches(held_attempts):
    batch, size_bytes = [], 0
    for held in held_attempts:
        if batch and size_bytes + held.size_bytes > MAX_BATCH_BYTES:
            yield batch
            batch, size_bytes = [], 0
        batch.append(held)
        size_bytes += held.size_bytes
    if batch:
        yield batch
