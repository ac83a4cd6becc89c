"""How a process asks another process."""

import abc

from kingcupport.common import errors


class PeerError(errors.KingcupportError):
    """A peer that could not be asked or whose reply did not come.

    Args:
        reason: What went wrong.
        step: The step that failed.
        peer: Name of the peer.
        sent: Whether the request may have reached the peer. False only when
            it certainly did not.
    """

    code = 'peer_unreachable'

    def __init__(self, reason, *, step, peer=None, sent=True):
        super().__init__(reason, step=step, peer=peer)
        self.sent = sent


class PeerAnswerError(PeerError):
    """A peer that received the request and answered with an error.

    Args:
        answer_code: Code of the peer's error.
        reason: The peer's reason.
        step: The step that failed.
        peer: Name or address of the peer.
    """

    code = 'peer_error'

    def __init__(self, answer_code, reason, *, step, peer=None):
        super().__init__(f'{answer_code}: {reason}', step=step, peer=peer)
        self.answer_code = answer_code


class PeerCaller(abc.ABC):
    """Sends a peer message and waits for the reply."""

    @abc.abstractmethod
    def call(self, peer, message, deadline_ms):
        """Send a message to a peer and return its reply.

        Args:
            peer: Name of a balancer or backend server of the fleet; the
                process beside it is asked.
            message: A peer message.
            deadline_ms: Point on the monotonic clock.

        Returns:
            The reply, a peer message other than ``ErrorReply``.

        Raises:
            PeerError: No connection, no reply by the deadline, or an
                ``ErrorReply`` (then a PeerAnswerError); ``sent`` tells
                whether the message may have been received.
        """
