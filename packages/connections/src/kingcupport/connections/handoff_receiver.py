"""Receives connections that other agents hand over."""

import collections
import itertools

from kingcupport.connections import handoff_codec
from kingcupport.wire import handoff_messages

# A sender asks for the decision for 20 s at most; decisions are kept much
# longer.
DECISION_RETENTION_MS = 300_000
MAX_DECISIONS = 65_536


class HandoffReceiver:
    """Adopts connections and records the decision of each handoff.

    Args:
        name: Name of this agent.
        registry: Object with ``fleet``.
        clock: Clock.
        adopt: Called with a ConnectionState and the sender's name; adopts the
            connection and returns an empty string, or returns the reason for
            refusing it.
        refusal_reason: Called without arguments; returns the reason for
            refusing all handoffs at present, or an empty string.
    """

    def __init__(self, name, registry, clock, adopt, refusal_reason):
        self._name = name
        self._registry = registry
        self._clock = clock
        self._adopt = adopt
        self._refusal_reason = refusal_reason
        self._decisions = collections.OrderedDict()

    def handlers(self):
        """Return the handlers of the peer server by message class."""
        return {
            handoff_messages.Handoff: self.on_handoff,
            handoff_messages.HandoffAbort: self.on_abort,
        }

    def on_handoff(self, message, peer):
        """Adopt the connection unless the handoff has been decided.

        Args:
            message: The Handoff.
            peer: Name of the calling process.

        Returns:
            A HandoffAdopted or HandoffAborted.

        Raises:
            WireError: A field of the state has the wrong type or length.
        """
        handoff_id = message.handoff_id
        decision = self._decisions.get(handoff_id)
        if decision is None:
            state = handoff_codec.state_from_message(
                message, self._clock.monotonic_ms()
            )
            reason = self._refusal_reason() or self._service_mismatch(state)
            if not reason:
                reason = self._adopt(state, message.sender)
            decision = self._record_decision(handoff_id, reason)
        return self._reply(handoff_id, decision.reason)

    def on_abort(self, message, peer):
        """Return the decision of a handoff, and refuse one not yet decided.

        Args:
            message: The HandoffAbort.
            peer: Name of the calling process.

        Returns:
            A HandoffAdopted or HandoffAborted.
        """
        handoff_id = message.handoff_id
        decision = self._decisions.get(handoff_id)
        if decision is None:
            decision = self._record_decision(
                handoff_id, 'aborted by the sender'
            )
        return self._reply(handoff_id, decision.reason)

    def _service_mismatch(self, state):
        # Names and addresses are reused, so a sender that routes by an older
        # revision may regard this agent as one of its own service.
        fleet = self._registry.fleet
        member = fleet.backend_servers.get(self._name)
        service = fleet.service_at(state.identity.service_address)
        if member is None or service is None:
            return ''
        return '' if member.service == service.name else 'other service'

    def _record_decision(self, handoff_id, reason):
        now_ms = self._clock.monotonic_ms()
        decision = _Decision(reason, now_ms + DECISION_RETENTION_MS)
        self._decisions[handoff_id] = decision
        self._drop_expired(now_ms)
        return decision

    def _drop_expired(self, now_ms):
        old = itertools.takewhile(
            lambda item: item[1].deadline_ms <= now_ms,
            self._decisions.items(),
        )
        for handoff_id, _ in list(old):
            del self._decisions[handoff_id]
        while len(self._decisions) > MAX_DECISIONS:
            self._decisions.popitem(last=False)

    def _reply(self, handoff_id, reason):
        revision = self._registry.fleet.revision
        if reason:
            return handoff_messages.HandoffAborted(
                self._name, revision, handoff_id, reason
            )
        return handoff_messages.HandoffAdopted(
            self._name, revision, handoff_id
        )


class _Decision:
    """Reason for refusing a handoff, empty if adopted, and its expiry."""

    def __init__(self, reason, deadline_ms):
        self.reason = reason
        self.deadline_ms = deadline_ms
