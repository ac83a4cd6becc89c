"""How a process asks another process whose name it may not know."""

import abc


class AddressCaller(abc.ABC):
    """Sends a peer message to an address and waits for the reply."""

    @abc.abstractmethod
    def call_address(self, address, message, deadline_ms):
        """Send a message to whichever process listens at an address.

        Args:
            address: Address of the process.
            message: A peer message.
            deadline_ms: Point on the monotonic clock.

        Returns:
            The reply, a peer message other than ``ErrorReply``.

        Raises:
            PeerError: As ``PeerCaller.call``.
        """
