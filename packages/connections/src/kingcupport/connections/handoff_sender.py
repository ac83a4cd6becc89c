"""Gives connections to other agents."""

import enum
import logging

from kingcupport.connections import handoff_codec
from kingcupport.control import peer_caller
from kingcupport.wire import handoff_messages

LOG = logging.getLogger(__name__)

CALL_TIMEOUT_MS = 1_000
# Past it an undecided handoff ends in a reset: the callers' side gives up on
# a silent connection after 30 s.
DECISION_TIMEOUT_MS = 20_000
RETRY_WAIT_MS = 100


class HandoffOutcome(enum.Enum):
    """How a handoff ended."""

    ADOPTED = 'adopted'
    ABORTED = 'aborted'
    UNDECIDED = 'undecided'


class HandoffSender:
    """Hands over one connection at a time for each calling task.

    An undecided handoff never goes on at both sides: the connection resumes
    here only when the receiver has confirmed that it will never adopt it.

    Args:
        name: Name of this agent.
        keeper: Object with ``fleet``.
        caller: PeerCaller.
        clock: Clock.
        table: ConnectionTable.
        lent_runs: LentRuns, for requests that go on running here.
        make_handoff_id: Returns a unique text.
    """

    def __init__(
        self, name, keeper, caller, clock, table, lent_runs, make_handoff_id
    ):
        self._name = name
        self._keeper = keeper
        self._caller = caller
        self._clock = clock
        self._table = table
        self._lent_runs = lent_runs
        self._make_handoff_id = make_handoff_id

    def hand_over(self, connection, receiver):
        """Hand a connection to another agent; blocks the calling task.

        Args:
            connection: A Connection owned here that is not frozen.
            receiver: Name of the agent that takes it.

        Returns:
            A HandoffOutcome. After ``ABORTED`` the connection goes on here;
            after ``UNDECIDED`` it has been reset.
        """
        state = connection.freeze()
        handoff_id = self._make_handoff_id()
        message = handoff_codec.message_from_state(
            state,
            self._name,
            self._keeper.fleet.revision,
            handoff_id,
            self._clock.monotonic_ms(),
        )
        self._lent_runs.add(state.pending)
        outcome = self._decide(receiver, message)
        if outcome is HandoffOutcome.ADOPTED:
            connection_id = connection.identity.connection_id
            self._table.remove(connection)
            self._table.set_redirect(connection_id, receiver)
            connection.leave()
        elif outcome is HandoffOutcome.ABORTED:
            self._lent_runs.discard(state.pending)
            connection.resume()
        else:
            self._lent_runs.discard(state.pending)
            connection.reset()
        return outcome

    def _decide(self, receiver, message):
        outcome = self._offer(receiver, message)
        deadline_ms = self._clock.monotonic_ms() + DECISION_TIMEOUT_MS
        while outcome is HandoffOutcome.UNDECIDED:
            if self._clock.monotonic_ms() >= deadline_ms:
                LOG.warning(
                    'handoff undecided',
                    extra={
                        'handoff_id': message.handoff_id,
                        'peer': receiver,
                    },
                )
                return outcome
            outcome = self._abort(receiver, message.handoff_id)
            if outcome is HandoffOutcome.UNDECIDED:
                self._clock.sleep_until(
                    self._clock.monotonic_ms() + RETRY_WAIT_MS
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
            self._name, self._keeper.fleet.revision, handoff_id
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
