"""Peers that offered a free slot, and the offers to peers."""

from kingcupport.requests import _waiting
from kingcupport.wire import work_messages

SAMPLED_PEERS = 2
OFFER_VALID_MS = 1000
FIRST_PAUSE_MS = 2
MAX_PAUSE_MS = 250


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

    def handle_request(self, message, peer):
        """Keep an offer; handles WorkRequest."""
        view = self._link.read_view()
        if message.service == view.service and message.sender in view.hosts:
            until_ms = self._clock.monotonic_ms() + message.valid_ms
            self._offers[message.sender] = (message.incarnation, until_ms)
            self._on_offer()
        return self._report()

    def take(self):
        """Remove and return a random offer.

        Always taking the first one would load the same peers again and
        again.

        Returns:
            Name and incarnation of the peer, or None.
        """
        now_ms = self._clock.monotonic_ms()
        hosts = self._link.read_view().hosts
        self._offers = {
            name: offer
            for name, offer in self._offers.items()
            if offer[1] > now_ms and name in hosts
        }
        if not self._offers:
            return None
        name = self._rng.choice(sorted(self._offers))
        incarnation, _ = self._offers.pop(name)
        return name, incarnation

    def offer(self, has_room, newly_free, on_report):
        """Offer a free slot to two peers at a time while there is one.

        Blocks the calling task. The pauses double, so that an agent that
        stays idle sends few messages.

        Args:
            has_room: Callable that tells whether there is a free slot.
            newly_free: Event that is set when a slot becomes free; the
                offers before were used or refused, so they start anew.
            on_report: Called with each LoadReport that comes back.
        """
        pause_ms = FIRST_PAUSE_MS
        waiting = []
        while has_room() and not newly_free.is_set():
            if not waiting:
                waiting = self._link.peers()
                self._rng.shuffle(waiting)
            for _ in range(min(SAMPLED_PEERS, len(waiting))):
                self._offer_to(waiting.pop(), on_report)
            pause_end_ms = self._clock.monotonic_ms() + pause_ms
            _waiting.wait_until(self._clock, newly_free, pause_end_ms)
            pause_ms = min(2 * pause_ms, MAX_PAUSE_MS)

    def _offer_to(self, peer, on_report):
        message = self._link.make(
            work_messages.WorkRequest,
            service=self._link.read_view().service,
            incarnation=self._link.incarnation,
            valid_ms=OFFER_VALID_MS,
        )
        self._link.notify(peer, message, on_report)
