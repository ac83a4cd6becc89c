"""Hands connections over to other agents."""

import enum
import logging

from kingcupport.connections import handoff_codec
from kingcupport.control import peer_caller
from kingcupport.wire import handoff_messages

LOG = logging.getLogger(__name__)

CALL_TIMEOUT_MS = 1_000
# An undecided handoff ends in a reset after this time. It is below 30 s, after
# which the fabric gives up a connection that does not respond.
DECISION_TIMEOUT_MS = 20_000
RETRY_INTERVAL_MS = 100


class HandoffOutcome(enum.Enum):
    """Result of a handoff."""

    ADOPTED = 'adopted'
    ABORTED = 'aborted'
    UNDECIDED = 'undecided'


class HandoffSender:
    """Hands over connections, one at a time for each calling task.

    A connection never has two active owners: it resumes here only if the
    handoff request was not sent, or if the receiver has confirmed that it will
    never adopt the connection.

    Args:
        name: Name of this agent.
        registry: Object with ``fleet``.
        caller: PeerCaller.
        clock: Clock.
        table: ConnectionTable.
        handed_over_requests: HandedOverRequests, which keeps the requests that
            continue to run here.
        make_handoff_id: Returns a unique handoff id.
    """

    def __init__(
        self,
        name,
        registry,
        caller,
        clock,
        table,
        handed_over_requests,
        make_handoff_id,
    ):
        self._name = name
        self._registry = registry
        self._caller = caller
        self._clock = clock
        self._table = table
        self._handed_over_requests = handed_over_requests
        self._make_handoff_id = make_handoff_id

    def hand_over(self, connection, receiver):
        """Hand a connection over to another agent; blocks the calling task.

        Args:
            connection: A Connection owned here that is not frozen.
            receiver: Name of the agent that is to adopt it.

        Returns:
            A HandoffOutcome. After ``ABORTED`` the connection continues here;
            after ``UNDECIDED`` it has been reset.
        """
        state = connection.freeze()
        handoff_id = self._make_handoff_id()
        message = handoff_codec.message_from_state(
            state,
            self._name,
            self._registry.fleet.revision,
            handoff_id,
            self._clock.monotonic_ms(),
        )
        self._handed_over_requests.add(state.pending)
        outcome = self._decide(receiver, message)
        if outcome is HandoffOutcome.ADOPTED:
            connection_id = connection.identity.connection_id
            self._table.remove(connection)
            self._table.set_redirect(connection_id, receiver)
            connection.terminate()
        elif outcome is HandoffOutcome.ABORTED:
            self._handed_over_requests.discard(state.pending)
            connection.resume()
        else:
            self._handed_over_requests.discard(state.pending)
            connection.reset()
        return outcome

    def _decide(self, receiver, message):
        outcome = self._offer(receiver, message)
        deadline_ms = self._clock.monotonic_ms() + DECISION_TIMEOUT_MS
        while outcome is HandoffOutcome.UNDECIDED:
            if self._clock.monotonic_ms() >= deadline_ms:
                LOG.warning(
                    'handoff undecided, connection reset',
                    extra={
                        'handoff_id': message.handoff_id,
                        'peer': receiver,
                    },
                )
                return outcome
            outcome = self._abort(receiver, message.handoff_id)
            if outcome is HandoffOutcome.UNDECIDED:
                self._clock.sleep_until(
                    self._clock.monotonic_ms() + RETRY_INTERVAL_MS
                )
        return outcome

    def _offer(self, receiver, message):
        try:
            reply = self._call(receiver, message)
        except peer_caller.PeerError as error:
            if not error.sent:
                return HandoffOutcome.ABORTED
            return HandoffOutcome.UNDECIDED
        return _outcome_of(reply)

    def _abort(self, receiver, handoff_id):
        message = handoff_messages.HandoffAbort(
            self._name, self._registry.fleet.revision, handoff_id
        )
        try:
            return _outcome_of(self._call(receiver, message))
        except peer_caller.PeerError:
            return HandoffOutcome.UNDECIDED

    def _call(self, receiver, message):
        deadline_ms = self._clock.monotonic_ms() + CALL_TIMEOUT_MS
        return self._caller.call(receiver, message, deadline_ms)


def _outcome_of(reply):
    if isinstance(reply, handoff_messages.HandoffAdopted):
        return HandoffOutcome.ADOPTED
    if isinstance(reply, handoff_messages.HandoffAborted):
        return HandoffOutcome.ABORTED
    return HandoffOutcome.UNDECIDED
