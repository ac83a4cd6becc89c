"""Queues an agent's requests and runs them here or at peers."""

import collections
import math

import gevent
from gevent import event

from kingcupport.requests import _waiting
from kingcupport.requests import admission
from kingcupport.requests import answer
from kingcupport.requests import backend_port
from kingcupport.requests import drain_rate
from kingcupport.requests import idle_peers
from kingcupport.requests import job as job_module
from kingcupport.requests import queue_order
from kingcupport.requests import request_runner
from kingcupport.requests import retry_budget
from kingcupport.requests import route_durations
from kingcupport.requests import scheduler_settings
from kingcupport.requests import server_health
from kingcupport.requests import slots as slots_module

MAX_ATTEMPTS = 3

# A request is taken ahead only behind a short run; behind a longer one it
# could as well wait where it is.
MAX_AHEAD_MS = 50
EXPIRY_CHECK_MS = 50

_DRAINING = 'this server is being withdrawn'
_EXPIRED = 'the deadline passed in the queue'


class RequestScheduler(request_runner.RequestRunner):
    """Owns each accepted request until its one answer.

    Args:
        port: BackendPort of the agent's server.
        clock: Clock of the deadlines.
        slots: Number of requests that the server runs at once.
        settings: SchedulerSettings.
        sharing: WorkSharing with the service's other agents, or None.
    """

    def __init__(self, port, clock, slots, settings=None, sharing=None):
        settings = settings or scheduler_settings.SchedulerSettings()
        self._port = port
        self._clock = clock
        self._slots = slots_module.Slots(clock, slots)
        self._settings = settings
        self._sharing = sharing
        self._queue = queue_order.make_queue_order(settings.order)
        self._waiting_long = {}
        self._ahead = collections.deque()
        self._admission = admission.Admission(settings.wait_percent)
        self._durations = route_durations.RouteDurations()
        self._drain_rate = drain_rate.DrainRate(clock, slots)
        self._budget = retry_budget.RetryBudget()
        self._draining = False
        self._health = server_health.ServerHealth(clock)
        self._not_empty = event.Event()
        self._expiry_task = gevent.spawn(self._expire_queued)
        if sharing is not None:
            sharing.attach(self)

    @property
    def queued(self):
        """Number of requests that wait here."""
        return len(self._queue) + len(self._waiting_long)

    @property
    def running(self):
        """Number of requests that run on the agent's server."""
        return self._slots.running

    @property
    def server_ready(self):
        """Whether the agent's server takes requests."""
        return self._health.ready

    def room_in_ms(self):
        """Return when a peer's request could start here.

        Returns:
            Milliseconds until a slot is expected to be free, or None when
            no request is to be taken.
        """
        if self._queue or self._ahead or self._draining:
            return None
        if not (self.server_ready and self._shares_work):
            return None
        wait_ms = self._slot_wait_ms()
        return wait_ms if wait_ms <= MAX_AHEAD_MS else None

    def needs_peers(self):
        """Return whether requests wait longer than a transfer takes."""
        return (
            len(self._queue) > 0
            and not self._draining
            and self._slot_wait_ms() > 2 * idle_peers.TRANSFER_MS
        )

    def _slot_wait_ms(self):
        return self._slots.wait_ms() if self.server_ready else math.inf

    def submit(self, request):
        """Run a request here or at a peer; see ``RequestRunner.submit``."""
        if self._draining:
            return admission.make_not_run(_DRAINING)
        job = self._make_job(request)
        refusal = self._refusal(job)
        if refusal is not None:
            return refusal
        self._accept(job)
        try:
            return job.result.get()
        finally:
            self._forget(job)

    def start_transferred(self, request, finish):
        """Run a request that a peer has handed over.

        Args:
            request: The Request.
            finish: Called with the Job when the task ends. Without a result
                the run was cancelled; without ``started`` it did not run.

        Returns:
            The task that runs it, or None when there is no room.
        """
        wait_ms = self.room_in_ms()
        if wait_ms is None:
            return None
        job = self._make_job(request)
        job.attempts = MAX_ATTEMPTS
        if wait_ms:
            self._start_ahead(job)
        else:
            self._start_here(job)
        job.task.rawlink(lambda _: finish(job))
        return job.task

    def drain(self):
        """Start no further requests; running ones finish.

        Returns:
            Tuple of the Requests that have not started. Their ``submit``
            calls return a refusal with outcome ``not-run`` once the calling
            task waits. A request that is being handed over at this moment
            and is refused by the peer ends the same way later.
        """
        self._draining = True
        jobs = (*self._queue, *self._waiting_long)
        for job in jobs:
            job.finish(admission.make_not_run(_DRAINING))
            self._forget(job)
        for job in self._ahead:
            job.task.kill(block=False)
        return tuple(job.request for job in jobs)

    def stop(self):
        """End the background tasks."""
        self._expiry_task.kill(block=False)
        if self._sharing is not None:
            self._sharing.stop()

    def _make_job(self, request):
        return job_module.Job(
            request,
            self._clock.monotonic_ms(),
            self._durations.expected_ms(request.route),
            long=self._durations.is_long(request.route),
        )

    @property
    def _caps_long_work(self):
        return self._sharing is not None and self._settings.cap_long_work

    def _refusal(self, job):
        if not self._settings.admission:
            return None
        return self._admission.refusal(
            job, self._expected_wait_ms(job), self.queued
        )

    def _expected_wait_ms(self, job):
        if job.long and self._caps_long_work:
            # Each agent's fair share of the permits serves its long work.
            work_ms = sum(j.expected_ms for j in self._waiting_long)
            return work_ms / self._sharing.permit_share()
        if self._slots.free and not self._queue:
            return 0
        return self._drain_rate.wait_ms(
            self._queue.work_ahead_ms(job) + job.expected_ms
        )

    def _accept(self, job):
        if job.long and self._caps_long_work:
            self._waiting_long[job] = True
            job.task = gevent.spawn(self._wait_for_permit, job)
            self._not_empty.set()
        else:
            self._enqueue(job)

    def _wait_for_permit(self, job):
        job.permit = self._sharing.permits.acquire()
        del self._waiting_long[job]
        job.task = None
        self._enqueue(job)

    def _enqueue(self, job):
        if self._draining:
            job.finish(admission.make_not_run(_DRAINING))
            return
        self._queue.push(job)
        self._not_empty.set()
        self.dispatch()

    def dispatch(self):
        """Start queued requests while a slot or an idle peer is free."""
        while self._slots.free and self._ahead and self.server_ready:
            self._start_here(self._ahead.popleft())
        while self._queue and not self._draining:
            if self._slots.free and self.server_ready:
                job = self._pop()
                if job is not None:
                    self._start_here(job)
                continue
            offer = self._take_offer()
            if offer is None:
                break
            job = self._pop()
            if job is not None:
                self._start_at_peer(job, offer)
        self._note_state()
        if self._shares_work and self.needs_peers():
            self._sharing.note_waiting()

    def _note_state(self):
        self._drain_rate.note_state(len(self._queue) > 0, self._slots.blocked)

    @property
    def _shares_work(self):
        return self._sharing is not None and self._settings.share_work

    def _take_offer(self):
        if not self._shares_work:
            return None
        return self._sharing.idle_peers.take(self._slot_wait_ms())

    def _pop(self):
        job = self._queue.pop()
        if job.request.deadline_ms <= self._clock.monotonic_ms():
            job.finish(admission.make_not_run(_EXPIRED))
            return None
        self._drain_rate.note_departure(job.expected_ms)
        return job

    def _start_here(self, job):
        self._slots.start(job)
        self._note_state()
        job.started = True
        if job.turn is not None:
            job.turn.set()
        else:
            job.task = gevent.spawn(self._run_here, job)
        # A link also runs when the task is killed before it starts.
        job.task.rawlink(lambda task: self._release_slot(job, task))
        if self._sharing is not None:
            self._sharing.note_room()

    def _start_ahead(self, job):
        """Take a request whose slot is soon free, so that it is not idle.

        Without this a slot stands idle for a round trip after each run. If
        the run takes longer than expected, the request is given back.
        """
        job.turn = event.Event()
        job.task = gevent.spawn(self._run_at_turn, job)
        self._ahead.append(job)

    def _run_at_turn(self, job):
        give_back_ms = self._clock.monotonic_ms() + 2 * MAX_AHEAD_MS
        try:
            _waiting.wait_until(self._clock, job.turn, give_back_ms)
        finally:
            if not job.started:
                self._ahead.remove(job)
        if not job.started:
            return
        if job.request.deadline_ms <= self._clock.monotonic_ms():
            job.finish(admission.make_not_run(_EXPIRED))
            return
        self._run_here(job)

    def _release_slot(self, job, task):
        self._slots.end(job)
        self._check_failure(job, task)
        self._dispatch_and_offer()

    def _dispatch_and_offer(self):
        self.dispatch()
        if self._sharing is not None:
            self._sharing.note_room()

    def _check_failure(self, job, task):
        """Answer a job whose task ended by an error that nothing handles."""
        if task.exception is not None:
            job.finish(
                answer.make_refusal(
                    answer.Outcome.UNKNOWN, 'internal error while running'
                ),
            )

    def _run_here(self, job):
        started_ms = self._clock.monotonic_ms()
        try:
            result = self._port.run(job.request)
        except backend_port.NotRunError as error:
            gevent.spawn(self._dispatch_at, self._health.note_failure())
            self._retry_or_refuse(job, answer.Outcome.NOT_RUN, error)
        except backend_port.OutcomeUnknownError as error:
            self._retry_or_refuse(job, answer.Outcome.UNKNOWN, error)
        else:
            self._health.note_success()
            elapsed_ms = self._clock.monotonic_ms() - started_ms
            self._durations.note(job.request.route, elapsed_ms)
            self._succeed(job, result)

    def _start_at_peer(self, job, offer):
        job.task = gevent.spawn(self._run_at_peer, job, *offer)
        job.task.rawlink(lambda task: self._check_failure(job, task))

    def _run_at_peer(self, job, peer, incarnation):
        started_ms = self._clock.monotonic_ms()
        try:
            result = self._sharing.sender.hand_over(
                job.request, peer, incarnation
            )
        except backend_port.NotRunError as error:
            self._retry_or_refuse(job, answer.Outcome.NOT_RUN, error)
        except backend_port.OutcomeUnknownError as error:
            self._retry_or_refuse(job, answer.Outcome.UNKNOWN, error)
        else:
            if result is None:
                self._enqueue(job)
                return
            elapsed_ms = self._clock.monotonic_ms() - started_ms
            self._durations.note(job.request.route, elapsed_ms)
            self._succeed(job, result)

    def _succeed(self, job, result):
        self._budget.note_success()
        job.finish(result)

    def _retry_or_refuse(self, job, outcome, error):
        job.attempts += 1
        job.uncertain |= outcome == answer.Outcome.UNKNOWN
        may_retry = (
            (outcome == answer.Outcome.NOT_RUN or job.request.idempotent)
            and job.attempts < MAX_ATTEMPTS
            and job.request.deadline_ms > self._clock.monotonic_ms()
            and not self._draining
        )
        if may_retry and self._budget.spend():
            job.task = None
            self._enqueue(job)
            return
        job.finish(answer.make_refusal(outcome, error.reason))

    def _forget(self, job):
        """Cancel what is left of a job and free what it holds."""
        if not self._queue.remove(job):
            self._waiting_long.pop(job, None)
        self._note_state()
        if job.task is not None:
            job.task.kill(block=False)
        if job.permit is not None:
            self._sharing.permits.release(job.permit)
            job.permit = None

    def _dispatch_at(self, due_ms):
        self._clock.sleep_until(due_ms)
        self._dispatch_and_offer()

    def _expire_queued(self):
        while True:
            self._not_empty.wait()
            now_ms = self._clock.monotonic_ms()
            for job in (*self._queue, *self._waiting_long):
                if job.request.deadline_ms <= now_ms:
                    job.finish(admission.make_not_run(_EXPIRED))
                    self._forget(job)
            if not self.queued:
                self._not_empty.clear()
                continue
            self._clock.sleep_until(now_ms + EXPIRY_CHECK_MS)
