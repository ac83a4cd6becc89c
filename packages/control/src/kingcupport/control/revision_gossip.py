"""Propagates fleet revisions among processes and from the service."""

import collections
import logging

import gevent
import gevent.event
import gevent.pool

from kingcupport.common import address as address_module
from kingcupport.control import peer_caller
from kingcupport.control import periodic_task
from kingcupport.wire import control_messages
from kingcupport.wire import datagrams

LOG = logging.getLogger(__name__)

NOTICE_INTERVAL_MS = 500
_NOTICE_JITTER = (0.8, 1.2)
# A peer that is behind gets at most one notice in reply within this time,
# because it pulls the newer revision within a second.
REPLY_NOTICE_INTERVAL_MS = 1_000
MAX_RATE_LIMITED_PEERS = 1_024
# A starting process asks peers in batches until this many have answered,
# because a single peer may itself be stale or starting.
TARGET_COMPARED_PEERS = 5
MAX_ASKED_PEERS = 25
COMPARE_TIMEOUT_MS = 1_000
# A newer fleet can name further peers, which are compared in the next round.
MAX_COMPARE_ROUNDS = 4
# Startup retries. The interval cannot be derived from the rate budget before
# the size of the fleet is known.
START_RETRY_MS = 1_000
MAX_START_RETRY_MS = 8_000


class RevisionGossip:
    """Announces the revision in force to peers and fetches newer ones.

    Args:
        registry: FleetRegistry.
        puller: DifferencePuller.
        poller: ConfigurationPoller.
        caller: AddressCaller.
        clock: Clock.
        rng: random.Random.
        name: Name of this process.
        own_address: Peer address of this process.
        send_datagram: ``send_datagram(data, address)``; an OSError is
            counted.
        counts: collections.Counter of the process.
        seeds: Addresses of processes that are contacted at startup in
            addition to those of the fleet, and later while the fleet has no
            other process.
    """

    def __init__(
        self,
        registry,
        puller,
        poller,
        caller,
        clock,
        rng,
        *,
        name,
        own_address,
        send_datagram,
        counts,
        seeds=(),
    ):
        self._registry = registry
        self._puller = puller
        self._poller = poller
        self._caller = caller
        self._clock = clock
        self._rng = rng
        self._name = name
        self._own_address = own_address
        self._send_datagram = send_datagram
        self._counts = counts
        self._seeds = tuple(a for a in seeds if a != own_address)
        # Point on the monotonic clock before which a peer that is behind gets
        # no further notice, by address.
        self._next_reply_ms = collections.OrderedDict()
        self._ready = gevent.event.Event()
        self._tasks = []

    @property
    def ready(self):
        """Whether synchronisation with service and peers has completed."""
        return self._ready.is_set()

    def wait_ready(self, timeout_ms):
        """Block until ready; return False on timeout."""
        return self._ready.wait(timeout_ms / 1000)

    def start(self):
        """Start the tasks."""
        self._tasks = [
            gevent.spawn(self._synchronise_and_poll),
            gevent.spawn(self._puller.run),
            gevent.spawn(
                periodic_task.run_periodically,
                self._clock,
                self.next_notice_delay_ms,
                self.notify_random_peer,
            ),
        ]

    def stop(self):
        """Stop the tasks."""
        gevent.killall(self._tasks)
        self._tasks = []

    def on_notice(self, notice):
        """Handle a RevisionNotice datagram.

        Args:
            notice: The RevisionNotice.
        """
        self._counts['notices_received'] += 1
        try:
            address = address_module.parse_address(notice.sender_address)
        except address_module.AddressError:
            self._counts['notices_malformed'] += 1
            return
        fleet = self._registry.fleet
        if notice.revision > fleet.revision:
            self._puller.on_revision_seen(notice.revision, address)
        elif notice.revision < fleet.revision:
            self._notify_peer_behind(address)
        else:
            self._registry.check_digest(
                notice.revision, notice.digest, str(address)
            )

    def on_revision_seen(self, revision, address):
        """Handle the revision that a peer message carried.

        Args:
            revision: The sender's revision.
            address: Peer address of the sender.
        """
        self._puller.on_revision_seen(revision, address)

    def notify_random_peer(self):
        """Send a notice to one random process of the fleet.

        A process whose fleet is empty or names no other process sends it to
        a seed instead, which replies if its revision is higher.
        """
        candidates = self._sample_peers(1) or self._rng.sample(
            self._seeds, min(1, len(self._seeds))
        )
        if candidates:
            self._send_notice(candidates[0])

    def synchronise(self):
        """Poll the service and compare with peers; set ready on success.

        The process becomes ready when the service answered or a peer
        supplied a fleet, and no answering peer has a higher revision.

        Returns:
            Whether the process is ready.
        """
        is_service_answering = self._poller.poll()
        is_current = self._compare_until_current()
        has_fleet_source = (
            is_service_answering or self._registry.fleet.revision > 0
        )
        if is_current and has_fleet_source:
            self._ready.set()
        return self.ready

    def compare_with_peers(self):
        """Compare revisions with random peers and pull a higher one.

        A process that was paused calls this before it uses its fleet again.

        Returns:
            The number of peers that answered, or None if one of them still
            has a higher revision.
        """
        revisions = self._fetch_peer_revisions()
        if not self._puller.pull_until_current():
            return None
        newer_revisions = [
            r for r in revisions if r > self._registry.fleet.revision
        ]
        return None if newer_revisions else len(revisions)

    def _compare_until_current(self):
        for _ in range(MAX_COMPARE_ROUNDS):
            before = self._registry.fleet.revision
            if self.compare_with_peers() is None:
                return False
            if self._registry.fleet.revision == before:
                return True
        return False

    def _fetch_peer_revisions(self):
        """Return the revisions of the peers that answered."""
        revisions = []
        candidates = list(self._seeds)
        candidates += [
            a
            for a in self._sample_peers(MAX_ASKED_PEERS)
            if a not in candidates
        ]
        # The first batch includes all seeds, because the service may have
        # returned a fleet so old that none of its processes is running.
        size = max(len(self._seeds), TARGET_COMPARED_PEERS)
        while candidates and len(revisions) < TARGET_COMPARED_PEERS:
            batch, candidates = candidates[:size], candidates[size:]
            replies = gevent.pool.Pool(size).map(self._fetch_revision, batch)
            revisions += [r for r in replies if r is not None]
        return revisions

    def _fetch_revision(self, address):
        try:
            reply = self._caller.call_address(
                address,
                control_messages.StatusRequest(
                    self._name, self._registry.fleet.revision
                ),
                self._clock.monotonic_ms() + COMPARE_TIMEOUT_MS,
            )
        except peer_caller.PeerError:
            return None
        self._puller.on_revision_seen(reply.revision, address)
        return reply.revision

    def _sample_peers(self, count):
        addresses = self._registry.peer_addresses
        # Sample one more, because this process may be among them.
        sampled = self._rng.sample(addresses, min(count + 1, len(addresses)))
        return [a for a in sampled if a != self._own_address][:count]

    def _notify_peer_behind(self, address):
        now_ms = self._clock.monotonic_ms()
        if self._next_reply_ms.get(address, now_ms) > now_ms:
            return
        self._next_reply_ms[address] = now_ms + REPLY_NOTICE_INTERVAL_MS
        self._next_reply_ms.move_to_end(address)
        if len(self._next_reply_ms) > MAX_RATE_LIMITED_PEERS:
            self._next_reply_ms.popitem(last=False)
        self._send_notice(address)

    def _send_notice(self, address):
        fleet = self._registry.fleet
        notice = datagrams.RevisionNotice(
            fleet.revision, fleet.digest, str(self._own_address)
        )
        data = datagrams.encode_revision_notice(notice)
        try:
            self._send_datagram(data, address)
        except OSError:
            self._counts['notices_failed'] += 1
            return
        self._counts['notices_sent'] += 1
        self._counts['notice_bytes_sent'] += len(data)

    def next_notice_delay_ms(self):
        """Return the time until the next notice in ms, with jitter."""
        return NOTICE_INTERVAL_MS * self._rng.uniform(*_NOTICE_JITTER)

    def _synchronise_and_poll(self):
        delay_ms = START_RETRY_MS
        while True:
            periodic_task.run_and_log_errors(self.synchronise)
            if self.ready:
                break
            self._clock.sleep_until(
                self._clock.monotonic_ms()
                + delay_ms * self._rng.uniform(0.5, 1)
            )
            delay_ms = min(delay_ms * 2, MAX_START_RETRY_MS)
        LOG.info(
            'control plane ready',
            extra={'revision': self._registry.fleet.revision},
        )
        periodic_task.run_periodically(
            self._clock, self._poller.next_delay_ms, self._poller.poll
        )
