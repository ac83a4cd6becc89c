"""Handlers for claim messages from peers."""

from kingcupport.requests import claim_index
from kingcupport.requests import claim_record
from kingcupport.requests import keyed_results
from kingcupport.wire import claim_messages
from kingcupport.wire import errors as wire_errors


class ClaimHandlers:
    """Non-blocking message handlers to register with the peer server.

    Args:
        context: ClaimContext.
        index: ClaimIndex.
        results: KeyedResults.
        rebuild: ClaimRebuild.
        detector: PauseDetector.
        handover: ClaimHandover.
    """

    def __init__(self, context, index, results, rebuild, detector, handover):
        self._context = context
        self._index = index
        self._results = results
        self._rebuild = rebuild
        self._detector = detector
        self._handover = handover

    def handlers(self):
        """Return ``{message class: handler(message, peer) -> reply}``."""
        return {
            claim_messages.Claim: self._on_claim,
            claim_messages.ClaimRecord: self._on_record,
            claim_messages.ClaimRelease: self._on_release,
            claim_messages.ClaimListRequest: self._on_list,
            claim_messages.ResultRequest: self._on_result,
            claim_messages.ClaimHandover: self._on_handover,
        }

    def grant(self, record):
        """Grant a claim if this agent is the key's agent and may grant it.

        Args:
            record: ClaimRecord of the attempt.

        Returns:
            ClaimGranted, ClaimHeld or ClaimRefused message.
        """
        self._detector.check()
        rebuild = self._rebuild
        if rebuild.key_agent(record.key) != self._context.name:
            return self._refuse('not_key_agent')
        if record.holder not in rebuild.view.active:
            return self._refuse('not_member')
        if not rebuild.may_grant(record.key):
            return self._refuse(self._refusal_code())
        try:
            in_force = self._index.claim(record)
        except claim_index.ClaimIndexFullError:
            return self._refuse('full', first=True)
        return self._make_claim_reply(record, in_force)

    def _make_claim_reply(self, record, in_force):
        context = self._context
        if in_force.attempt == record.attempt:
            return claim_messages.ClaimGranted(
                context.name, context.revision, record.attempt
            )
        return claim_messages.ClaimHeld(
            context.name,
            context.revision,
            claim_record.encode_record(in_force, context.now_ms()),
        )

    def _refusal_code(self):
        if self._rebuild.paused:
            return 'paused'
        return 'draining' if self._rebuild.draining else 'incomplete'

    def _refuse(self, code, first=False):
        context = self._context
        return claim_messages.ClaimRefused(
            context.name,
            context.revision,
            first,
            code,
            self._rebuild.fences(),
        )

    def _on_claim(self, message, peer):
        # The run ends by the request's deadline. Keeping the claim for the
        # retention time after that deadline makes it outlive the answer.
        kept_ms = max(0, message.remaining_ms) + self._context.retention_ms
        return self.grant(
            claim_record.ClaimRecord(
                key=message.key,
                fingerprint=message.fingerprint,
                attempt=message.attempt,
                holder=message.sender,
                holder_incarnation=message.incarnation,
                version=0,
                expires_ms=self._context.now_ms() + kept_ms,
            )
        )

    def _on_record(self, message, peer):
        self._detector.check()
        record = self._read_claim(message.claim, peer)
        rebuild = self._rebuild
        if not rebuild.may_hold_claims():
            return self._refuse(self._refusal_code())
        if rebuild.key_agent(record.key) != message.sender:
            return self._refuse('not_key_agent')
        try:
            in_force = self._index.claim(record)
        except claim_index.ClaimIndexFullError:
            return self._refuse('full')
        return self._make_claim_reply(record, in_force)

    def _on_release(self, message, peer):
        self._index.release(message.key, message.attempt)
        return claim_messages.ClaimReleased(
            self._context.name, self._context.revision
        )

    def _on_list(self, message, peer):
        _check_members(message.members, peer)
        return self._rebuild.make_list_reply(message)

    def _on_result(self, message, peer):
        held = self._results.get(message.key)
        if held is None or held.attempt != message.attempt:
            return self._result('absent')
        if not held.decided.is_set():
            return self._result('pending')
        if held.state != keyed_results.HeldState.ANSWERED:
            return self._result('unknown')
        return self._result('answered', held.answer)

    def _result(self, state, answer=None):
        context = self._context
        headers = [list(pair) for pair in answer.headers] if answer else []
        return claim_messages.ResultReply(
            sender=context.name,
            revision=context.revision,
            incarnation=context.incarnation,
            state=state,
            status=answer.status if answer else 0,
            headers=headers,
            body=answer.body if answer else b'',
        )

    def _on_handover(self, message, peer):
        _check_members(message.members, peer)
        try:
            accepted = self._handover.receive(message)
        except (ValueError, TypeError) as error:
            raise _bad_message(error, peer) from None
        return claim_messages.ClaimHandoverReply(
            self._context.name, self._context.revision, accepted
        )

    def _read_claim(self, plain, peer):
        try:
            return claim_record.decode_record(plain, self._context.now_ms())
        except ValueError as error:
            raise _bad_message(error, peer) from None


def _check_members(members, peer):
    for member in members:
        if not (
            isinstance(member, list)
            and [type(part) for part in member] == [str, int]
        ):
            raise _bad_message('members are not [name, revision]', peer)


def _bad_message(reason, peer):
    return wire_errors.WireError(
        str(reason), step='handle_claim_message', peer=str(peer)
    )
