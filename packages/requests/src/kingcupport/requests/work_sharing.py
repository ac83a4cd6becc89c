"""Work sharing: late binding of requests to agents of one service."""

import gevent
from gevent import event

from kingcupport.requests import idle_peers
from kingcupport.requests import long_permits
from kingcupport.requests import peer_link
from kingcupport.requests import work_receiver
from kingcupport.requests import work_sender
from kingcupport.wire import work_messages

REPORT_INTERVAL_MS = 500
REPORTED_PEERS_COUNT = 3
MIN_ANNOUNCEMENT_INTERVAL_MS = 10
MAX_ANNOUNCEMENT_INTERVAL_MS = 80


class WorkSharing:
    """Connects one scheduler with those of the service's other agents.

    Args:
        link: PeerLink.
        clock: Clock of the deadlines.
        rng: ``random.Random`` for the choices.
        loads: PeerLoads that keeps the load reports.
    """

    def __init__(self, link, clock, rng, loads):
        self._link = link
        self._clock = clock
        self._rng = rng
        self._loads = loads
        self._scheduler = None
        self._slots_changed = event.Event()
        self._work_queued = event.Event()
        self._tasks = []
        self.permits = long_permits.LongPermits(link, clock, rng)
        self.sender = work_sender.WorkSender(link, clock)
        self.idle_peers = None
        self.receiver = None

    def attach(self, scheduler):
        """Connect the scheduler and start the background tasks."""
        self._scheduler = scheduler
        self.idle_peers = idle_peers.IdlePeers(
            self._link,
            self._clock,
            self._rng,
            scheduler.dispatch,
            self._make_report,
        )
        self.receiver = work_receiver.WorkReceiver(
            self._link,
            self._clock,
            scheduler.start_transferred,
            self.idle_peers.add_loaded_peer,
        )
        self._slots_changed.set()
        self._tasks = [
            gevent.spawn(self._offer_free_slots),
            gevent.spawn(self._announce_queued_work),
            gevent.spawn(self._exchange_load_reports),
        ]

    def handlers(self):
        """Return the peer server's handlers by message class."""
        return {
            work_messages.WorkRequest: self.idle_peers.handle_request,
            work_messages.WorkTransfer: self.receiver.handle_transfer,
            work_messages.WorkPoll: self.receiver.handle_poll,
            work_messages.WorkWaiting: self.handle_work_waiting,
            work_messages.LoadReport: self.handle_report,
            work_messages.PermitRequest: self.permits.handle_request,
            work_messages.PermitRelease: self.permits.handle_release,
        }

    def handle_report(self, message, peer):
        """Keep a report and reply with this agent's; handles LoadReport."""
        self._record_report(message)
        return self._make_report()

    def handle_work_waiting(self, message, peer):
        """Offer the next free slot to the sender; handles WorkWaiting."""
        view = self._link.read_view()
        if message.service == view.service and message.sender in view.hosts:
            self.idle_peers.add_loaded_peer(message.sender)
            self._slots_changed.set()
        return self._make_report()

    def permits_per_agent(self):
        """Return the permits of the service divided by its agents."""
        view = self._link.read_view()
        return view.permits_count / max(1, len(view.hosts))

    def signal_slot_change(self):
        """Signal that the scheduler may accept more or fewer requests."""
        self._slots_changed.set()

    def signal_queued_work(self):
        """Signal that requests are queued and no peer has offered a slot."""
        self._work_queued.set()

    def stop(self):
        """End the background tasks."""
        gevent.killall(self._tasks, block=False)

    def _offer_free_slots(self):
        while True:
            self._slots_changed.wait()
            self._slots_changed.clear()
            self.idle_peers.offer_slots(
                self._scheduler.free_slot_in_ms,
                self._slots_changed,
                self._record_report,
            )

    def _announce_queued_work(self):
        interval_ms = MIN_ANNOUNCEMENT_INTERVAL_MS
        while True:
            self._work_queued.wait()
            if not self._scheduler.needs_peers():
                self._work_queued.clear()
                interval_ms = MIN_ANNOUNCEMENT_INTERVAL_MS
                continue
            peers = self._link.peers()
            count = min(idle_peers.SAMPLED_PEERS_COUNT, len(peers))
            for peer in self._rng.sample(peers, count):
                self._link.notify(
                    peer,
                    self._link.make(
                        work_messages.WorkWaiting,
                        service=self._link.read_view().service,
                    ),
                )
            self._clock.sleep_until(self._clock.monotonic_ms() + interval_ms)
            interval_ms = min(2 * interval_ms, MAX_ANNOUNCEMENT_INTERVAL_MS)

    def _record_report(self, report):
        # Addresses are reused, so the sender may belong to another service.
        if report.sender not in self._link.read_view().hosts:
            return
        self._loads.record_report(report)
        self.idle_peers.record_report(report)

    def _exchange_load_reports(self):
        pending_peers = []
        while True:
            peers = self._link.peers()
            self._loads.keep_only(peers)
            pending_peers = [name for name in pending_peers if name in peers]
            if not pending_peers:
                pending_peers = peers
                self._rng.shuffle(pending_peers)
            for _ in range(min(REPORTED_PEERS_COUNT, len(pending_peers))):
                self._link.notify(
                    pending_peers.pop(),
                    self._make_report(),
                    self._record_report,
                )
            self._clock.sleep_until(
                self._clock.monotonic_ms() + REPORT_INTERVAL_MS
            )

    def _make_report(self):
        return self._link.make(
            work_messages.LoadReport,
            connections=self._loads.own_connections(),
            queued=self._scheduler.queued,
            running=self._scheduler.running,
        )


def make_work_sharing(name, caller, clock, rng, read_view, loads):
    """Return the WorkSharing of one agent.

    Args:
        name: Name of the agent's backend server.
        caller: PeerCaller.
        clock: Clock of the deadlines; its UTC time is the incarnation.
        rng: ``random.Random`` for the choices.
        read_view: Callable that returns the ServiceView in force.
        loads: PeerLoads that keeps the load reports.
    """
    link = peer_link.PeerLink(name, caller, clock, read_view, clock.utc_ms())
    return WorkSharing(link, clock, rng, loads)
