"""Late binding of requests between the agents of one service."""

import gevent
from gevent import event

from kingcupport.requests import idle_peers
from kingcupport.requests import long_permits
from kingcupport.requests import peer_link
from kingcupport.requests import work_receiver
from kingcupport.requests import work_sender
from kingcupport.wire import work_messages

REPORT_INTERVAL_MS = 500
REPORTED_PEERS = 3
WAITING_INTERVAL_MS = 10
MAX_WAITING_INTERVAL_MS = 80


class WorkSharing:
    """Connects one scheduler with those of the service's other agents.

    Args:
        link: PeerLink.
        clock: Clock of the deadlines.
        rng: ``random.Random`` for the choices.
        loads: PeerLoads that takes the reports.
    """

    def __init__(self, link, clock, rng, loads):
        self._link = link
        self._clock = clock
        self._rng = rng
        self._loads = loads
        self._scheduler = None
        self._room = event.Event()
        self._work_waits = event.Event()
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
            self.idle_peers.note_loaded,
        )
        self._room.set()
        self._tasks = [
            gevent.spawn(self._offer_room),
            gevent.spawn(self._announce_waiting),
            gevent.spawn(self._exchange_loads),
        ]

    def handlers(self):
        """Return the peer server's handlers by message class."""
        return {
            work_messages.WorkRequest: self.idle_peers.handle_request,
            work_messages.WorkTransfer: self.receiver.handle_transfer,
            work_messages.WorkPoll: self.receiver.handle_poll,
            work_messages.WorkWaiting: self.handle_waiting,
            work_messages.LoadReport: self.handle_report,
            work_messages.PermitRequest: self.permits.handle_request,
            work_messages.PermitRelease: self.permits.handle_release,
        }

    def handle_report(self, message, peer):
        """Keep a report and return the own one; handles LoadReport."""
        self._note_report(message)
        return self._make_report()

    def handle_waiting(self, message, peer):
        """Offer the next free slot to the sender; handles WorkWaiting."""
        view = self._link.read_view()
        if message.service == view.service and message.sender in view.hosts:
            self.idle_peers.note_loaded(message.sender)
            self._room.set()
        return self._make_report()

    def permit_share(self):
        """Return the number of permits for each of the service's agents."""
        view = self._link.read_view()
        return view.permits / max(1, len(view.hosts))

    def note_room(self):
        """Tell that the scheduler's room for work has changed."""
        self._room.set()

    def note_waiting(self):
        """Tell that requests wait and no peer has offered a slot."""
        self._work_waits.set()

    def stop(self):
        """End the background tasks."""
        gevent.killall(self._tasks, block=False)

    def _offer_room(self):
        while True:
            self._room.wait()
            self._room.clear()
            self.idle_peers.offer(
                self._scheduler.room_in_ms, self._room, self._note_report
            )

    def _announce_waiting(self):
        interval_ms = WAITING_INTERVAL_MS
        while True:
            self._work_waits.wait()
            if not self._scheduler.needs_peers():
                self._work_waits.clear()
                interval_ms = WAITING_INTERVAL_MS
                continue
            peers = self._link.peers()
            count = min(idle_peers.SAMPLED_PEERS, len(peers))
            for peer in self._rng.sample(peers, count):
                self._link.notify(
                    peer,
                    self._link.make(
                        work_messages.WorkWaiting,
                        service=self._link.read_view().service,
                    ),
                )
            self._clock.sleep_until(self._clock.monotonic_ms() + interval_ms)
            interval_ms = min(2 * interval_ms, MAX_WAITING_INTERVAL_MS)

    def _note_report(self, report):
        # Addresses are reused, so it may come from another service.
        if report.sender not in self._link.read_view().hosts:
            return
        self._loads.note(report)
        self.idle_peers.note_report(report)

    def _exchange_loads(self):
        waiting = []
        while True:
            peers = self._link.peers()
            self._loads.keep_only(peers)
            waiting = [name for name in waiting if name in peers]
            if not waiting:
                waiting = peers
                self._rng.shuffle(waiting)
            for _ in range(min(REPORTED_PEERS, len(waiting))):
                self._link.notify(
                    waiting.pop(), self._make_report(), self._note_report
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
    """Return the sharing of one agent.

    Args:
        name: Name of the agent's backend server.
        caller: PeerCaller.
        clock: Clock of the deadlines; its UTC time is the incarnation.
        rng: ``random.Random`` for the choices.
        read_view: Callable that returns the ServiceView in force.
        loads: PeerLoads that takes the reports.
    """
    link = peer_link.PeerLink(name, caller, clock, read_view, clock.utc_ms())
    return WorkSharing(link, clock, rng, loads)
