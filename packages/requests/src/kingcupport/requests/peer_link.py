"""Calls to the other agents of a service."""

import gevent

from kingcupport.control import peer_caller

CALL_TIMEOUT_MS = 250


class PeerLink:
    """Builds messages with the sender's name and revision and sends them.

    Args:
        name: Name of the agent's backend server.
        caller: PeerCaller.
        clock: Clock of the deadlines.
        read_view: Callable that returns the ServiceView of the revision in
            force.
        incarnation: UTC time of the process's start in milliseconds.
    """

    def __init__(self, name, caller, clock, read_view, incarnation):
        self.name = name
        self.incarnation = incarnation
        self.read_view = read_view
        self._caller = caller
        self._clock = clock

    @property
    def revision(self):
        """The revision in force."""
        return self.read_view().revision

    def peers(self):
        """Return the names of the service's other agents in a list."""
        return [h for h in self.read_view().hosts if h != self.name]

    def make(self, message_class, **fields):
        """Return a message with sender and revision filled in."""
        return message_class(
            sender=self.name, revision=self.revision, **fields
        )

    def call(self, peer, message, timeout_ms=CALL_TIMEOUT_MS):
        """Call a peer; see ``PeerCaller.call``."""
        deadline_ms = self._clock.monotonic_ms() + timeout_ms
        return self._caller.call(peer, message, deadline_ms)

    def notify(self, peer, message, on_reply=None):
        """Call a peer in a background task and ignore failures."""
        gevent.spawn(self._notify, peer, message, on_reply)

    def _notify(self, peer, message, on_reply):
        try:
            reply = self.call(peer, message)
        except peer_caller.PeerError:
            return
        if on_reply is not None:
            on_reply(reply)
