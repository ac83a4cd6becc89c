"""Offers of free slots between the agents of a service."""

import attrs

from kingcupport.requests import _waiting
from kingcupport.wire import work_messages

SAMPLED_PEERS_COUNT = 2
OFFER_VALID_MS = 1000

# Upper bound of the time that a transfer takes between two data centres of
# a service.
MAX_TRANSFER_MS = 5
FIRST_PAUSE_MS = 2
MAX_PAUSE_MS = 1000


@attrs.frozen
class _Offer:
    incarnation: int
    free_at_ms: float
    valid_until_ms: float


class IdlePeers:
    """Sends offers of free slots and stores received ones.

    A received offer is stored until it is used or expires.

    Args:
        link: PeerLink.
        clock: Clock of the deadlines.
        rng: ``random.Random`` for the choices.
        on_offer: Called after an offer was received.
        make_report: Callable that returns this agent's LoadReport, which is
            the reply to an offer.
    """

    def __init__(self, link, clock, rng, on_offer, make_report):
        self._link = link
        self._clock = clock
        self._rng = rng
        self._on_offer = on_offer
        self._make_report = make_report
        self._offers = {}
        self._loaded_peers = {}

    def add_loaded_peer(self, peer):
        """Remember that a peer has queued work."""
        if peer in self._link.read_view().hosts:
            self._loaded_peers.setdefault(peer, None)

    def record_report(self, report):
        """Remember the sender of a LoadReport if it has queued work."""
        if report.queued:
            self.add_loaded_peer(report.sender)

    def handle_request(self, message, peer):
        """Store the offer of a peer; handles WorkRequest."""
        view = self._link.read_view()
        if message.service == view.service and message.sender in view.hosts:
            now_ms = self._clock.monotonic_ms()
            self._offers[message.sender] = _Offer(
                message.incarnation,
                now_ms + message.free_in_ms,
                now_ms + message.valid_ms,
            )
            self._on_offer()
        return self._make_report()

    def take_offer(self, local_wait_ms):
        """Remove and return the offer of a random idle peer.

        Without an idle peer, the offer of the peer that is free next is
        taken. The choice is random because always using the first offer
        would load the same peers.

        Args:
            local_wait_ms: Expected time until a slot of this agent is free.

        Returns:
            Name and incarnation of the peer, or None when no peer is free
            before a slot of this agent.
        """
        now_ms = self._clock.monotonic_ms()
        hosts = self._link.read_view().hosts
        self._offers = {
            name: offer
            for name, offer in self._offers.items()
            if offer.valid_until_ms > now_ms and name in hosts
        }
        idle = [n for n, o in self._offers.items() if o.free_at_ms <= now_ms]
        if idle:
            name = self._rng.choice(idle)
        else:
            limit_ms = now_ms + local_wait_ms - MAX_TRANSFER_MS
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

    def offer_slots(self, free_slot_in_ms, slots_changed, on_report):
        """Offer a slot to peers while one is free or soon will be.

        Blocks the calling task. The offer goes to the peer that was found
        loaded longest ago. If there is none and a slot is free, offers go
        to two sampled peers. The pause between offers doubles up to a
        limit, so that an agent that stays idle sends few messages.

        Args:
            free_slot_in_ms: Callable that returns the time until a slot is
                free, or None when no request can be accepted.
            slots_changed: Event that is set when a run starts or ends. It
                ends the call: the earlier offers were used or refused, so
                the next call starts again with the shortest pause.
            on_report: Called with each LoadReport received as a reply.
        """
        pause_ms = FIRST_PAUSE_MS
        unsampled_peers = []
        while not slots_changed.is_set():
            free_in_ms = free_slot_in_ms()
            if free_in_ms is None:
                return
            if not unsampled_peers:
                unsampled_peers = self._link.peers()
                self._rng.shuffle(unsampled_peers)
            for peer in self._next_peers(unsampled_peers, free_in_ms):
                self._send_offer(peer, free_in_ms, on_report)
            pause_end_ms = self._clock.monotonic_ms() + pause_ms
            _waiting.wait_until(self._clock, slots_changed, pause_end_ms)
            pause_ms = min(2 * pause_ms, MAX_PAUSE_MS)

    def _next_peers(self, unsampled_peers, free_in_ms):
        peers = self._link.peers()
        while self._loaded_peers:
            peer = next(iter(self._loaded_peers))
            del self._loaded_peers[peer]
            if peer in peers:
                return [peer]
        if free_in_ms > 0:
            return []
        return [
            unsampled_peers.pop()
            for _ in range(min(SAMPLED_PEERS_COUNT, len(unsampled_peers)))
        ]

    def _send_offer(self, peer, free_in_ms, on_report):
        message = self._link.make(
            work_messages.WorkRequest,
            service=self._link.read_view().service,
            incarnation=self._link.incarnation,
            free_in_ms=int(free_in_ms),
            valid_ms=OFFER_VALID_MS,
        )
        self._link.notify(peer, message, on_report)
