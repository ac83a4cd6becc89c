"""Leased permits that limit how many long requests a service runs."""

import collections
import itertools

import attrs
import gevent
from gevent import event

from kingcupport.control import peer_caller
from kingcupport.requests import _waiting
from kingcupport.wire import work_messages

LEASE_DURATION_MS = 1000
RENEWAL_INTERVAL_MS = 300
MAX_WAIT_MS = 100
MEAN_RETRY_PAUSE_MS = 20


@attrs.define
class _Lease:
    sender: str
    incarnation: int
    sequence: int
    expires_at_ms: float

    def matches(self, message):
        """Whether a message refers to this lease of the permit."""
        lease_key = (self.sender, self.incarnation, self.sequence)
        return lease_key == (
            message.sender,
            message.incarnation,
            message.sequence,
        )


@attrs.define(eq=False)
class _HeldPermit:
    owner: str
    permit: int
    sequence: int
    renewal_task: object = None


class LongPermits:
    """Grants the permits that this agent owns and acquires permits of peers.

    Permit number i is owned by the host of rank i in the service's
    rendezvous ranking. While that host is unreachable, the host of the next
    rank grants the permit, so that long requests continue to run on each
    side of a network partition; the limit then applies to each side. The
    limit bounds load and is no safety property: it may be exceeded for a
    while during a change of the fleet, or after a process was paused for
    longer than a lease.

    Args:
        link: PeerLink.
        clock: Clock of the leases.
        rng: ``random.Random`` for the choices.
    """

    def __init__(self, link, clock, rng):
        self._link = link
        self._clock = clock
        self._rng = rng
        self._leases = {}
        self._released_events = collections.defaultdict(event.Event)
        self._sequences = itertools.count(1)

    def handle_request(self, message, peer):
        """Grant, renew or deny a permit; handles PermitRequest."""
        if not 0 <= message.permit < self._link.read_view().permits_count:
            return self._reply(False)
        deadline_ms = self._clock.monotonic_ms() + min(
            message.wait_ms, MAX_WAIT_MS
        )
        while True:
            now_ms = self._clock.monotonic_ms()
            lease = self._leases.get(message.permit)
            free = lease is None or lease.expires_at_ms <= now_ms
            if free or lease.matches(message):
                self._leases[message.permit] = _Lease(
                    message.sender,
                    message.incarnation,
                    message.sequence,
                    now_ms + LEASE_DURATION_MS,
                )
                return self._reply(True)
            if now_ms >= deadline_ms:
                return self._reply(False)
            released = self._released_events[message.permit]
            released.clear()
            _waiting.wait_until(
                self._clock, released, min(deadline_ms, lease.expires_at_ms)
            )

    def handle_release(self, message, peer):
        """End the lease of a permit; handles PermitRelease."""
        lease = self._leases.get(message.permit)
        if lease is not None and lease.matches(message):
            del self._leases[message.permit]
            self._released_events[message.permit].set()
        return self._reply(False)

    def acquire(self):
        """Block until a permit is granted and return the held permit."""
        while True:
            view = self._link.read_view()
            permits = list(range(view.permits_count))
            self._rng.shuffle(permits)
            for permit in permits:
                held = self._try_acquire(view, permit, 0)
                if held is not None:
                    return held
            held = self._try_acquire(view, permits[0], MAX_WAIT_MS)
            if held is not None:
                return held
            pause_ms = MEAN_RETRY_PAUSE_MS * (0.5 + self._rng.random())
            self._clock.sleep_until(self._clock.monotonic_ms() + pause_ms)

    def release(self, held):
        """Release a held permit at its owner."""
        held.renewal_task.kill(block=False)
        message = self._link.make(
            work_messages.PermitRelease,
            incarnation=self._link.incarnation,
            sequence=held.sequence,
            permit=held.permit,
        )
        if held.owner == self._link.name:
            self.handle_release(message, held.owner)
        else:
            self._link.notify(held.owner, message)

    def _try_acquire(self, view, permit, wait_ms):
        ranked = view.ranked_hosts
        sequence = next(self._sequences)
        for offset in range(len(ranked)):
            owner = ranked[(permit + offset) % len(ranked)]
            try:
                reply = self._request(owner, permit, sequence, wait_ms)
            except peer_caller.PeerError:
                continue
            if not reply.granted:
                return None
            held = _HeldPermit(owner, permit, sequence)
            held.renewal_task = gevent.spawn(self._renew, held)
            return held
        return None

    def _request(self, owner, permit, sequence, wait_ms):
        message = self._link.make(
            work_messages.PermitRequest,
            incarnation=self._link.incarnation,
            sequence=sequence,
            permit=permit,
            wait_ms=wait_ms,
        )
        if owner == self._link.name:
            return self.handle_request(message, owner)
        return self._link.call(owner, message)

    def _renew(self, held):
        while True:
            self._clock.sleep_until(
                self._clock.monotonic_ms() + RENEWAL_INTERVAL_MS
            )
            try:
                self._request(held.owner, held.permit, held.sequence, 0)
            except peer_caller.PeerError:
                # The next renewal is due before the lease ends.
                continue

    def _reply(self, granted):
        return self._link.make(
            work_messages.PermitReply,
            granted=granted,
            lease_ms=LEASE_DURATION_MS,
        )
