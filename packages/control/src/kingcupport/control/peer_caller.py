"""Interface and errors of calls to other processes by name."""

import abc

from kingcupport.common import errors


class PeerError(errors.KingcupportError):
    """A call that did not reach a peer or did not return a reply.

    Args:
        reason: What went wrong.
        step: The step that failed.
        peer: Name of the peer.
        sent: Whether the request may have reached the peer; False only if
            it is certain that it did not.
    """

    code = 'peer_unreachable'

    def __init__(self, reason, *, step, peer=None, sent=True):
        super().__init__(reason, step=step, peer=peer)
        self.sent = sent


class PeerAnswerError(PeerError):
    """A call that the peer answered with an error.

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
            peer: Name of a balancer, or of a backend server whose agent is
                called.
            message: A peer message.
            deadline_ms: Point on the monotonic clock.

        Returns:
            The reply, a peer message other than ``ErrorReply``.

        Raises:
            PeerError: No connection, no reply by the deadline, or an
                ``ErrorReply`` (raised as a PeerAnswerError); ``sent`` tells
                whether the peer may have received the message.
        """
