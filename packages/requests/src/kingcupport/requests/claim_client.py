"""Client side of claims: acquiring and releasing idempotency keys."""

import attrs
import gevent

from kingcupport.control import peer_caller
from kingcupport.requests import answer as answer_module
from kingcupport.requests import claim_index
from kingcupport.requests import claim_placement
from kingcupport.requests import claim_record
from kingcupport.wire import claim_messages

CALL_TIMEOUT_MS = 500
# Time for which an undecided claim is retried, for example while peers take
# over keys after a release note. Callers that need longer retry the request
# under the same key.
CLAIM_RETRY_PERIOD_MS = 2000
FIRST_RETRY_WAIT_MS = 10
MAX_RETRY_WAIT_MS = 160
RELEASE_TIMEOUT_MS = 2000
# Hosts, in order of decreasing score, that are tried in turn for storing the
# copy of a claim whose holder is the key's agent.
MAX_COPY_CANDIDATES = 3


@attrs.frozen
class Granted:
    """The attempt holds the key.

    Args:
        record: ClaimRecord of the attempt.
    """

    record: claim_record.ClaimRecord


@attrs.frozen
class Held:
    """Another attempt already holds the key.

    Args:
        record: ClaimRecord of that attempt.
    """

    record: claim_record.ClaimRecord


@attrs.frozen
class Refused:
    """The claim failed for good; the attempt must not run.

    Args:
        outcome: ``not-run`` if no earlier attempt can have run, else
            ``unknown``.
        reason: One-line explanation for the caller.
    """

    outcome: answer_module.Outcome
    reason: str


class ClaimClient:
    """Claims keys for requests that this agent is about to run.

    Args:
        context: ClaimContext.
        index: ClaimIndex.
        rebuild: ClaimRebuild.
        detector: PauseDetector.
        grant: ``ClaimHandlers.grant``, called directly for keys whose agent
            is this agent.
    """

    def __init__(self, context, index, rebuild, detector, grant):
        self._context = context
        self._index = index
        self._rebuild = rebuild
        self._detector = detector
        self._grant = grant

    def acquire(self, key, fingerprint, attempt, deadline_ms):
        """Claim a key and block until it is granted, held or refused.

        Args:
            key: The ``Idempotency-Key``.
            fingerprint: Digest of the request.
            attempt: Unique identifier of the attempt.
            deadline_ms: The request's deadline on the monotonic clock.

        Returns:
            Granted, Held or Refused.
        """
        context = self._context
        now_ms = context.now_ms()
        retry_until_ms = min(deadline_ms, now_ms + CLAIM_RETRY_PERIOD_MS)
        wait_ms = FIRST_RETRY_WAIT_MS
        while True:
            result = self._claim_once(key, fingerprint, attempt, deadline_ms)
            may_retry = isinstance(result, _Retry)
            now_ms = context.now_ms()
            if not may_retry or now_ms >= retry_until_ms:
                break
            context.clock.sleep_until(min(retry_until_ms, now_ms + wait_ms))
            wait_ms = min(2 * wait_ms, MAX_RETRY_WAIT_MS)
        if not isinstance(result, Granted):
            self.release(key, attempt)
        if may_retry:
            return Refused(answer_module.Outcome.UNKNOWN, result.reason)
        return result

    def release(self, key, attempt):
        """Release an attempt that did not run; notify peers asynchronously."""
        self._index.release(key, attempt)
        targets = claim_placement.rank_hosts(key, self._rebuild.view.active)
        for peer in targets[: MAX_COPY_CANDIDATES + 1]:
            if peer != self._context.name:
                gevent.spawn(self._send_release, peer, key, attempt)

    def release_abandoned(self, key, attempt):
        """Release another agent's attempt and wait for the key's agent."""
        self.release(key, attempt)
        key_agent = self._rebuild.key_agent(key)
        if key_agent not in (None, self._context.name):
            self._send_release(key_agent, key, attempt)

    def _send_release(self, peer, key, attempt):
        context = self._context
        message = claim_messages.ClaimRelease(
            context.name, context.revision, key, attempt
        )
        deadline_ms = context.now_ms() + RELEASE_TIMEOUT_MS
        try:
            context.caller.call(peer, message, deadline_ms)
        except peer_caller.PeerError:
            # A lost release is harmless: the next agent that claims the key
            # asks this agent for the result, learns that the attempt is absent
            # and releases it.
            return

    def _claim_once(self, key, fingerprint, attempt, deadline_ms):
        context = self._context
        rebuild = self._rebuild
        self._detector.check()
        if not rebuild.may_hold_claims():
            return _Retry('this agent does not yet know the claims in force')
        epoch = rebuild.epoch
        key_agent = rebuild.key_agent(key)
        now_ms = context.now_ms()
        remaining_ms = max(0, round(deadline_ms - now_ms))
        record = claim_record.ClaimRecord(
            key=key,
            fingerprint=fingerprint,
            attempt=attempt,
            holder=context.name,
            holder_incarnation=context.incarnation,
            version=0,
            expires_ms=now_ms + remaining_ms + context.retention_ms,
        )
        result = self._call_key_agent(key_agent, record, deadline_ms)
        if isinstance(result, Granted) and key_agent == context.name:
            result = self._replicate(record, deadline_ms)
        return self._validate_result(result, epoch, deadline_ms)

    def _validate_result(self, result, epoch, deadline_ms):
        """Reject a grant made after the deadline or under an earlier view."""
        self._detector.check()
        if isinstance(result, Held | _Retry):
            return result
        rebuild = self._rebuild
        if epoch != rebuild.epoch or not rebuild.may_hold_claims():
            return _Retry('the view of the fleet changed during the claim')
        if isinstance(result, Refused):
            return result
        if self._context.now_ms() >= deadline_ms:
            return _not_run('the claim was granted after the deadline')
        try:
            self._index.merge(result.record)
        except claim_index.ClaimIndexFullError:
            return _not_run('too many claims are kept')
        return result

    def _call_key_agent(self, key_agent, record, deadline_ms):
        context = self._context
        if key_agent == context.name:
            return self._parse_reply(self._grant(record), record)
        message = claim_messages.Claim(
            sender=context.name,
            revision=context.revision,
            incarnation=context.incarnation,
            key=record.key,
            fingerprint=record.fingerprint,
            attempt=record.attempt,
            remaining_ms=max(0, round(deadline_ms - context.now_ms())),
        )
        return self._call(key_agent, message, record, deadline_ms)

    def _call(self, peer, message, record, deadline_ms):
        call_deadline_ms = self._context.now_ms() + CALL_TIMEOUT_MS
        call_deadline_ms = min(deadline_ms, call_deadline_ms)
        try:
            reply = self._context.caller.call(peer, message, call_deadline_ms)
        except peer_caller.PeerError as error:
            return _Retry(f'the agent of the key was not reached: {error}')
        return self._parse_reply(reply, record)

    def _parse_reply(self, reply, record):
        if isinstance(reply, claim_messages.ClaimGranted):
            return Granted(record)
        if isinstance(reply, claim_messages.ClaimHeld):
            now_ms = self._context.now_ms()
            try:
                other = claim_record.decode_record(reply.claim, now_ms)
            except ValueError:
                return _Retry('the agent of the key sent a malformed claim')
            return Held(other)
        if reply.sender != self._context.name:
            self._rebuild.merge_fences(reply.fences)
        if reply.first:
            return _not_run('too many claims are kept')
        return _Retry(f'the agent of the key refused: {reply.code}')

    def _replicate(self, record, deadline_ms):
        context = self._context
        view = self._rebuild.view
        if len(view.names) == 1:
            return Granted(record)
        message = claim_messages.ClaimRecord(
            context.name,
            context.revision,
            claim_record.encode_record(record, context.now_ms()),
        )
        ranked = claim_placement.rank_hosts(record.key, view.active)
        candidates = [name for name in ranked if name != context.name]
        result = _Retry('no second agent keeps the claim')
        for peer in candidates[:MAX_COPY_CANDIDATES]:
            result = self._call(peer, message, record, deadline_ms)
            if isinstance(result, Held):
                self._index.release(record.key, record.attempt)
                self._index.merge(result.record)
            if not isinstance(result, _Retry):
                return result
        return result


@attrs.frozen
class _Retry:
    """The claim is undecided and may be retried.

    Args:
        reason: One-line explanation for the caller.
    """

    reason: str


def _not_run(reason):
    return Refused(answer_module.Outcome.NOT_RUN, reason)
