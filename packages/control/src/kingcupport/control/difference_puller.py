"""Pulls newer revisions from peers."""

import collections
import logging

import gevent.event
import gevent.lock

from kingcupport.control import peer_caller
from kingcupport.control import periodic_task
from kingcupport.wire import control_messages

LOG = logging.getLogger(__name__)

# Spreads the processes that hear of a revision from one peer.
PULL_JITTER_MS = 100
# A whole fleet is 400 KB and takes under 0.1 s to read; the rest is for a
# busy peer.
PULL_TIMEOUT_MS = 3_000
# Peers that are tried in a row; the next notice starts again.
MAX_ATTEMPTS = 6
RETRY_JITTER_MS = 500
MAX_CANDIDATES = 16


class DifferencePuller:
    """Knows which peers are ahead and pulls from them, one at a time.

    Args:
        keeper: FleetKeeper.
        caller: AddressCaller.
        clock: Clock.
        rng: random.Random.
        name: Name of this process.
        own_address: Peer address of this process.
        counts: collections.Counter of the process.
    """

    def __init__(self, keeper, caller, clock, rng, name, own_address, counts):
        self._keeper = keeper
        self._caller = caller
        self._clock = clock
        self._rng = rng
        self._name = name
        self._own_address = own_address
        self._counts = counts
        # Revision that a peer claims to have, by address.
        self._candidates = collections.OrderedDict()
        self._highest_seen = 0
        self._is_wanted = gevent.event.Event()
        self._lock = gevent.lock.BoundedSemaphore(1)

    def on_revision_seen(self, revision, address):
        """Note that a peer has a revision; a pull follows if it is ahead."""
        if revision <= self._keeper.fleet.revision:
            return
        if address == self._own_address:
            return
        self._candidates[address] = revision
        self._candidates.move_to_end(address)
        if len(self._candidates) > MAX_CANDIDATES:
            self._candidates.popitem(last=False)
        self._highest_seen = max(self._highest_seen, revision)
        self._is_wanted.set()

    def run(self):
        """Pull whenever a peer is ahead, without end."""
        while True:
            self._is_wanted.wait()
            self._is_wanted.clear()
            self._sleep(PULL_JITTER_MS)
            periodic_task.run_safely(self.pull_until_current)

    def pull_until_current(self):
        """Pull from the peers that are ahead until none is.

        Returns:
            Whether no peer is known to be ahead any more.
        """
        with self._lock:
            for attempt in range(MAX_ATTEMPTS):
                if attempt:
                    self._sleep(RETRY_JITTER_MS)
                if not self._pull_from_some_peer():
                    break
            is_current = self._highest_seen <= self._keeper.fleet.revision
            # A peer that claims what it does not have must not cause pulls
            # for ever.
            self._candidates.clear()
            self._highest_seen = 0
            return is_current

    def _pull_from_some_peer(self):
        """Return whether another attempt is needed."""
        address = self._choose()
        if address is None:
            return False
        while self._pull(address):
            pass
        return self._highest_seen > self._keeper.fleet.revision

    def _choose(self):
        revision = self._keeper.fleet.revision
        if self._highest_seen <= revision:
            return None
        ahead = [a for a, r in self._candidates.items() if r > revision]
        if ahead:
            return self._rng.choice(ahead)
        others = self._keeper.peer_addresses
        return self._rng.choice(others) if others else None

    def _pull(self, address):
        """Return whether the peer has still more."""
        before = self._keeper.fleet
        self._candidates.pop(address, None)
        self._counts['pulls'] += 1
        try:
            reply = self._caller.call_address(
                address,
                control_messages.DifferenceRequest(
                    self._name, before.revision, before.digest
                ),
                self._clock.monotonic_ms() + PULL_TIMEOUT_MS,
            )
        except peer_caller.PeerError as error:
            self._counts['pulls_failed'] += 1
            LOG.info('pull failed', extra={'error': str(error)})
            return False
        if not isinstance(reply, control_messages.DifferenceReply):
            self._counts['pulls_failed'] += 1
            return False
        self._offer(reply, str(address))
        after = self._keeper.fleet.revision
        return before.revision < after < reply.revision

    def _offer(self, reply, origin):
        for note in reply.notes:
            self._keeper.offer_plain_note(note, origin)
        if reply.fleet:
            self._keeper.offer_plain_fleet(reply.fleet, origin)

    def _sleep(self, limit_ms):
        delay_ms = self._rng.uniform(0, limit_ms)
        self._clock.sleep_until(self._clock.monotonic_ms() + delay_ms)
