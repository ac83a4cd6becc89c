"""Comparison of this agent's view with its peers' after a pause."""

import logging

LOG = logging.getLogger(__name__)


class ClaimComparison:
    """Tracks which peers have confirmed the view since the last pause."""

    def __init__(self):
        self._confirmed_peers = None

    @property
    def open(self):
        """Whether a pause was detected and too few peers have confirmed."""
        return self._confirmed_peers is not None

    @property
    def token(self):
        """Token for ``add``, to be read before the request to a peer."""
        return self._confirmed_peers

    def begin(self):
        """Discard all confirmations after a pause."""
        self._confirmed_peers = set()

    def add(self, peer, token):
        """Record that a peer confirmed the view.

        A reply to a request sent before the pause does not count.

        Args:
            peer: Name of the peer.
            token: Value of ``token`` when the request was sent.
        """
        if self.open and self._confirmed_peers is token:
            self._confirmed_peers.add(peer)

    def end(self, peers):
        """End the comparison once at least half of the peers confirmed.

        Args:
            peers: Number of active peers.
        """
        if self.open and len(self._confirmed_peers) * 2 >= peers:
            LOG.info(
                'claim_pause_over', extra={'peers': len(self._confirmed_peers)}
            )
            self._confirmed_peers = None
