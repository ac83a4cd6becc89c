"""Peers that offered a free slot, and the offers to peers."""

import attrs

from kingcupport.requests import _waiting
from kingcupport.wire import work_messages

SAMPLED_PEERS = 2
OFFER_VALID_MS = 1000

# Time that a transfer takes at most between two data centres of a service.
TRANSFER_MS = 5
FIRST_PAUSE_MS = 2
MAX_PAUSE_MS = 1000


@attrs.frozen
class _Offer:
    incarnation: int
    free_at_ms: float
    until_ms: float


class IdlePeers:
    """Keeps the offers received until they are used or expire.

    Args:
        link: PeerLink.
        clock: Clock of the deadlines.
        rng: ``random.Random`` for the choices.
        on_offer: Called after an offer has arrived.
        report: Callable that returns the own LoadReport, the reply.
    """

    def __init__(self, link, clock, rng, on_offer, report):
        self._link = link
        self._clock = clock
        self._rng = rng
        self._on_offer = on_offer
        self._report = report
        self._offers = {}
        self._loaded_peers = {}

    def note_loaded(self, peer):
        """Remember a peer that has queued work."""
        if peer in self._link.read_view().hosts:
            self._loaded_peers.setdefault(peer, None)

    def note_report(self, report):
        """Remember the sender of a LoadReport if it has queued work."""
        if report.queued:
            self.note_loaded(report.sender)

    def handle_request(self, message, peer):
        """Keep an offer; handles WorkRequest."""
        view = self._link.read_view()
        if message.service == view.service and message.sender in view.hosts:
            now_ms = self._clock.monotonic_ms()
            self._offers[message.sender] = _Offer(
                message.incarnation,
                now_ms + message.free_in_ms,
                now_ms + message.valid_ms,
            )
            self._on_offer()
        return self._report()

    def take(self, own_wait_ms):
        """Remove and return a random idle peer, else the one free next.

        Always taking the first one would load the same peers again and
        again.

        Args:
            own_wait_ms: Expected time until an own slot is free.

        Returns:
            Name and incarnation of the peer, or None when none is free
            before the own slot.
        """
        now_ms = self._clock.monotonic_ms()
        hosts = self._link.read_view().hosts
        self._offers = {
            name: offer
            for name, offer in self._offers.items()
            if offer.until_ms > now_ms and name in hosts
        }
        idle = [n for n, o in self._offers.items() if o.free_at_ms <= now_ms]
        if idle:
            name = self._rng.choice(idle)
        else:
            limit_ms = now_ms + own_wait_ms - TRANSFER_MS
            name = min(
                (
                    n
                    for n, o in self._offers.items()
                    if o.free_at_ms < limit_ms
                ),
                key=lambda n: self._offers[n].free_at_ms,
                default=None,
            )
        if name is None:
            return None
        return name, self._offers.pop(name).incarnation

    def offer(self, room_in_ms, changed, on_report):
        """Offer a slot while there is one that is free or soon will be.

        Blocks the calling task. The peer that was found loaded longest ago
        comes first; an idle agent offers to two sampled ones otherwise. The
        pauses double, so that an agent that stays idle sends few messages.

        Args:
            room_in_ms: Callable that returns the time until a slot is free,
                or None when no work can be taken.
            changed: Event that is set when a run starts or ends; the offers
                before were used or refused, so they start anew.
            on_report: Called with each LoadReport that comes back.
        """
        pause_ms = FIRST_PAUSE_MS
        waiting = []
        while not changed.is_set():
            free_in_ms = room_in_ms()
            if free_in_ms is None:
                return
            if not waiting:
                waiting = self._link.peers()
                self._rng.shuffle(waiting)
            for peer in self._next_peers(waiting, free_in_ms):
                self._offer_to(peer, free_in_ms, on_report)
            pause_end_ms = self._clock.monotonic_ms() + pause_ms
            _waiting.wait_until(self._clock, changed, pause_end_ms)
            pause_ms = min(2 * pause_ms, MAX_PAUSE_MS)

    def _next_peers(self, waiting, free_in_ms):
        peers = self._link.peers()
        while self._loaded_peers:
            peer = next(iter(self._loaded_peers))
            del self._loaded_peers[peer]
            if peer in peers:
                return [peer]
        if free_in_ms > 0:
            return []
        return [waiting.pop() for _ in range(min(SAMPLED_PEERS, len(waiting)))]

    def _offer_to(self, peer, free_in_ms, on_report):
        message = self._link.make(
            work_messages.WorkRequest,
            service=self._link.read_view().service,
            incarnation=self._link.incarnation,
            free_in_ms=int(free_in_ms),
            valid_ms=OFFER_VALID_MS,
        )
        self._link.notify(peer, message, on_report)
