"""Interface of calls to processes by address."""

import abc


class AddressCaller(abc.ABC):
    """Sends a peer message to an address and waits for the reply."""

    @abc.abstractmethod
    def call_address(self, address, message, deadline_ms):
        """Send a message to the process at an address; return its reply.

        The name of the process need not be known.

        Args:
            address: Address of the process.
            message: A peer message.
            deadline_ms: Point on the monotonic clock.

        Returns:
            The reply, a peer message other than ``ErrorReply``.

        Raises:
            PeerError: As ``PeerCaller.call``.
        """
