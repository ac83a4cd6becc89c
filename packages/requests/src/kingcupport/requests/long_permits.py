"""Bounds how many slots of a service hold long work at once."""

import collections
import itertools

import attrs
import gevent
from gevent import event

from kingcupport.control import peer_caller
from kingcupport.requests import _waiting
from kingcupport.wire import work_messages

LEASE_MS = 1000
RENEW_MS = 300
WAIT_MS = 100
RETRY_PAUSE_MS = 20


@attrs.define
class _Holder:
    sender: str
    incarnation: int
    sequence: int
    until_ms: float

    def is_sender_of(self, message):
        """Whether a message comes from the same use of the permit."""
        mine = (self.sender, self.incarnation, self.sequence)
        return mine == (message.sender, message.incarnation, message.sequence)


@attrs.define(eq=False)
class _Use:
    owner: str
    permit: int
    sequence: int
    renewal: object = None


class LongPermits:
    """Grants the permits that this agent owns and acquires others'.

    Permit number i belongs to the host of rank i in the service's rendezvous
    ranking. While that host cannot be reached the next rank stands in, so
    that long work goes on in each side of a partition; the cap then holds
    for each side. It is a bound on load and no safety property: during a
    change of the fleet and after a pause of more than a lease it may be
    passed for a while.

    Args:
        link: PeerLink.
        clock: Clock of the leases.
        rng: ``random.Random`` for the choices.
    """

    def __init__(self, link, clock, rng):
        self._link = link
        self._clock = clock
        self._rng = rng
        self._holders = {}
        self._freed = collections.defaultdict(event.Event)
        self._sequences = itertools.count(1)

    def handle_request(self, message, peer):
        """Grant, renew or deny a permit; handles PermitRequest."""
        if not 0 <= message.permit < self._link.read_view().permits:
            return self._reply(False)
        deadline_ms = self._clock.monotonic_ms() + min(
            message.wait_ms, WAIT_MS
        )
        while True:
            now_ms = self._clock.monotonic_ms()
            holder = self._holders.get(message.permit)
            free = holder is None or holder.until_ms <= now_ms
            if free or holder.is_sender_of(message):
                self._holders[message.permit] = _Holder(
                    message.sender,
                    message.incarnation,
                    message.sequence,
                    now_ms + LEASE_MS,
                )
                return self._reply(True)
            if now_ms >= deadline_ms:
                return self._reply(False)
            freed = self._freed[message.permit]
            freed.clear()
            _waiting.wait_until(
                self._clock, freed, min(deadline_ms, holder.until_ms)
            )

    def handle_release(self, message, peer):
        """Free a permit; handles PermitRelease."""
        holder = self._holders.get(message.permit)
        if holder is not None and holder.is_sender_of(message):
            del self._holders[message.permit]
            self._freed[message.permit].set()
        return self._reply(False)

    def acquire(self):
        """Block until a permit is granted and return its use."""
        while True:
            view = self._link.read_view()
            permits = list(range(view.permits))
            self._rng.shuffle(permits)
            for permit in permits:
                use = self._ask(view, permit, 0)
                if use is not None:
                    return use
            use = self._ask(view, permits[0], WAIT_MS)
            if use is not None:
                return use
            pause_ms = RETRY_PAUSE_MS * (0.5 + self._rng.random())
            self._clock.sleep_until(self._clock.monotonic_ms() + pause_ms)

    def release(self, use):
        """Give a permit back."""
        use.renewal.kill(block=False)
        message = self._link.make(
            work_messages.PermitRelease,
            incarnation=self._link.incarnation,
            sequence=use.sequence,
            permit=use.permit,
        )
        if use.owner == self._link.name:
            self.handle_release(message, use.owner)
        else:
            self._link.notify(use.owner, message)

    def _ask(self, view, permit, wait_ms):
        ranked = view.ranked_hosts
        sequence = next(self._sequences)
        for step in range(len(ranked)):
            owner = ranked[(permit + step) % len(ranked)]
            try:
                reply = self._request(owner, permit, sequence, wait_ms)
            except peer_caller.PeerError:
                continue
            if not reply.granted:
                return None
            use = _Use(owner, permit, sequence)
            use.renewal = gevent.spawn(self._renew, use)
            return use
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

    def _renew(self, use):
        while True:
            self._clock.sleep_until(self._clock.monotonic_ms() + RENEW_MS)
            try:
                self._request(use.owner, use.permit, use.sequence, 0)
            except peer_caller.PeerError:
                # The next renewal is due before the lease ends.
                continue

    def _reply(self, granted):
        return self._link.make(
            work_messages.PermitReply, granted=granted, lease_ms=LEASE_MS
        )
