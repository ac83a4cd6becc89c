"""Takes connections over from other agents."""

import collections
import itertools

from kingcupport.connections import handoff_codec
from kingcupport.wire import handoff_messages

# A sender asks for at most 20 s; decisions are kept far longer.
DECISION_KEPT_MS = 300_000
MAX_DECISIONS = 65_536


class HandoffReceiver:
    """Adopts connections and remembers each decision.

    Args:
        name: Name of this agent.
        keeper: Object with ``fleet``.
        clock: Clock.
        adopt: Called with a ConnectionState and the sender's name; owns the
            connection from then on, or returns why it does not.
        refusal: Called without arguments; returns why nothing is adopted at
            present, or an empty text.
    """

    def __init__(self, name, keeper, clock, adopt, refusal):
        self._name = name
        self._keeper = keeper
        self._clock = clock
        self._adopt = adopt
        self._refusal = refusal
        self._decisions = collections.OrderedDict()

    def handlers(self):
        """Return the handlers for the peer server."""
        return {
            handoff_messages.Handoff: self.on_handoff,
            handoff_messages.HandoffAbort: self.on_abort,
        }

    def on_handoff(self, message, peer):
        """Adopt the connection unless the handoff was decided before.

        Raises:
            WireError: The state in the message has the wrong shape.
        """
        handoff_id = message.handoff_id
        decision = self._decisions.get(handoff_id)
        if decision is None:
            state = handoff_codec.state_from_message(
                message, self._clock.monotonic_ms()
            )
            reason = self._refusal() or self._service_mismatch(state)
            if not reason:
                reason = self._adopt(state, message.sender)
            decision = self._remember(handoff_id, reason)
        return self._reply(handoff_id, decision.reason)

    def on_abort(self, message, peer):
        """Tell the decision; an unknown handoff is never adopted."""
        handoff_id = message.handoff_id
        decision = self._decisions.get(handoff_id)
        if decision is None:
            decision = self._remember(handoff_id, 'aborted by the sender')
        return self._reply(handoff_id, decision.reason)

    def _service_mismatch(self, state):
        # Names and addresses are reused, so a sender with an old view may
        # take this agent for one of its own service.
        fleet = self._keeper.fleet
        member = fleet.backend_servers.get(self._name)
        service = fleet.service_at(state.identity.service_address)
        if member is None or service is None:
            return ''
        return '' if member.service == service.name else 'other service'

    def _remember(self, handoff_id, reason):
        now_ms = self._clock.monotonic_ms()
        decision = _Decision(reason, now_ms + DECISION_KEPT_MS)
        self._decisions[handoff_id] = decision
        self._forget_old(now_ms)
        return decision

    def _forget_old(self, now_ms):
        old = itertools.takewhile(
            lambda item: item[1].deadline_ms <= now_ms,
            self._decisions.items(),
        )
        for handoff_id, _ in list(old):
            del self._decisions[handoff_id]
        while len(self._decisions) > MAX_DECISIONS:
            self._decisions.popitem(last=False)

    def _reply(self, handoff_id, reason):
        revision = self._keeper.fleet.revision
        if reason:
            return handoff_messages.HandoffAborted(
                self._name, revision, handoff_id, reason
            )
        return handoff_messages.HandoffAdopted(
            self._name, revision, handoff_id
        )


class _Decision:
    """Why a handoff was refused, empty if adopted, and until when known."""

    def __init__(self, reason, deadline_ms):
        self.reason = reason
        self.deadline_ms = deadline_ms
