"""Pulls newer fleet revisions from peers."""

import collections
import logging

import gevent.event
import gevent.lock

from kingcupport.control import peer_caller
from kingcupport.control import periodic_task
from kingcupport.wire import control_messages

LOG = logging.getLogger(__name__)

# Random delay that spreads the load on a peer whose notice reached several
# processes.
PULL_JITTER_MS = 100
# Reading a whole fleet of 400 KB takes under 0.1 s; the rest allows for a
# busy peer.
PULL_TIMEOUT_MS = 3_000
# Consecutive attempts; the next notice starts a new series.
MAX_ATTEMPTS = 6
RETRY_JITTER_MS = 500
MAX_CANDIDATES = 16


class DifferencePuller:
    """Tracks peers with a higher revision and pulls from one at a time.

    Args:
        registry: FleetRegistry.
        caller: AddressCaller.
        clock: Clock.
        rng: random.Random.
        name: Name of this process.
        own_address: Peer address of this process.
        counts: collections.Counter of the process.
    """

    def __init__(
        self, registry, caller, clock, rng, name, own_address, counts
    ):
        self._registry = registry
        self._caller = caller
        self._clock = clock
        self._rng = rng
        self._name = name
        self._own_address = own_address
        self._counts = counts
        # Revision announced by a peer, by address.
        self._candidates = collections.OrderedDict()
        self._highest_seen_revision = 0
        self._pull_requested = gevent.event.Event()
        self._lock = gevent.lock.BoundedSemaphore(1)

    def on_revision_seen(self, revision, address):
        """Record a peer's revision and request a pull if it is higher."""
        if revision <= self._registry.fleet.revision:
            return
        if address == self._own_address:
            return
        self._candidates[address] = revision
        self._candidates.move_to_end(address)
        if len(self._candidates) > MAX_CANDIDATES:
            self._candidates.popitem(last=False)
        self._highest_seen_revision = max(
            self._highest_seen_revision, revision
        )
        self._pull_requested.set()

    def run(self):
        """Pull whenever a peer has a higher revision; does not return."""
        while True:
            self._pull_requested.wait()
            self._pull_requested.clear()
            self._sleep_random(PULL_JITTER_MS)
            periodic_task.run_and_log_errors(self.pull_until_current)

    def pull_until_current(self):
        """Pull until no peer is known to have a higher revision.

        The number of attempts is bounded by ``MAX_ATTEMPTS``.

        Returns:
            Whether no peer is known to have a higher revision.
        """
        with self._lock:
            for attempt in range(MAX_ATTEMPTS):
                if attempt:
                    self._sleep_random(RETRY_JITTER_MS)
                if not self._pull_from_one_peer():
                    break
            is_current = (
                self._highest_seen_revision <= self._registry.fleet.revision
            )
            # Forget announced revisions, so that a peer that announces a
            # revision it does not have cannot cause endless pulls.
            self._candidates.clear()
            self._highest_seen_revision = 0
            return is_current

    def _pull_from_one_peer(self):
        """Return whether another attempt is needed."""
        address = self._choose_peer()
        if address is None:
            return False
        while self._pull(address):
            pass
        return self._highest_seen_revision > self._registry.fleet.revision

    def _choose_peer(self):
        revision = self._registry.fleet.revision
        if self._highest_seen_revision <= revision:
            return None
        ahead = [a for a, r in self._candidates.items() if r > revision]
        if ahead:
            return self._rng.choice(ahead)
        others = self._registry.peer_addresses
        return self._rng.choice(others) if others else None

    def _pull(self, address):
        """Return whether the peer has further revisions."""
        before = self._registry.fleet
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
            LOG.info(
                'fleet revision not pulled from peer',
                extra={'error': str(error)},
            )
            return False
        if not isinstance(reply, control_messages.DifferenceReply):
            self._counts['pulls_failed'] += 1
            return False
        self._offer_reply(reply, str(address))
        after = self._registry.fleet.revision
        return before.revision < after < reply.revision

    def _offer_reply(self, reply, origin):
        for note in reply.notes:
            self._registry.offer_plain_note(note, origin)
        if reply.fleet:
            self._registry.offer_plain_fleet(reply.fleet, origin)

    def _sleep_random(self, max_delay_ms):
        delay_ms = self._rng.uniform(0, max_delay_ms)
        self._clock.sleep_until(self._clock.monotonic_ms() + delay_ms)
