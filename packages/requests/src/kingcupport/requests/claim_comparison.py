"""Comparison of views with peers after a pause."""

import logging

LOG = logging.getLogger(__name__)


class ClaimComparison:
    """Tracks which peers confirmed the view since a pause was noticed."""

    def __init__(self):
        self._compared = None

    @property
    def open(self):
        """Whether a pause was noticed and too few peers were compared."""
        return self._compared is not None

    @property
    def token(self):
        """What ``note`` takes, to be read before a peer is asked."""
        return self._compared

    def begin(self):
        """Start anew after a pause."""
        self._compared = set()

    def note(self, peer, token):
        """Note a peer that answered under the same view.

        An answer to a question from before the pause does not count.
        """
        if self.open and self._compared is token:
            self._compared.add(peer)

    def end(self, peers):
        """End the comparison if at least half of the peers were compared.

        Args:
            peers: Number of peers.
        """
        if self.open and len(self._compared) * 2 >= peers:
            LOG.info('claim_pause_over', extra={'peers': len(self._compared)})
            self._compared = None
