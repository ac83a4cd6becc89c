"""Queues an agent's requests and runs them here or at peers."""

import gevent
from gevent import event

from kingcupport.requests import admission
from kingcupport.requests import answer
from kingcupport.requests import backend_port
from kingcupport.requests import drain_rate
from kingcupport.requests import job as job_module
from kingcupport.requests import queue_order
from kingcupport.requests import request_runner
from kingcupport.requests import retry_budget
from kingcupport.requests import route_durations
from kingcupport.requests import scheduler_settings

MAX_ATTEMPTS = 3
EXPIRY_CHECK_MS = 50
FIRST_BACKOFF_MS = 50
MAX_BACKOFF_MS = 2000

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
        self._slots = slots
        self._free_slots = slots
        self._settings = settings
        self._sharing = sharing
        self._queue = queue_order.make_queue_order(settings.order)
        self._waiting_long = {}
        self._admission = admission.Admission(settings.wait_percent)
        self._durations = route_durations.RouteDurations()
        self._drain_rate = drain_rate.DrainRate(clock, slots)
        self._budget = retry_budget.RetryBudget()
        self._draining = False
        self._backoff_ms = 0
        self._server_retry_ms = 0
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
        return self._slots - self._free_slots

    @property
    def server_ready(self):
        """Whether the agent's server takes requests."""
        return self._server_retry_ms <= self._clock.monotonic_ms()

    @property
    def has_room(self):
        """Whether there is a free slot and nothing to run in it."""
        return (
            self._free_slots > 0
            and not self._queue
            and not self._draining
            and self.server_ready
        )

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
            finish: Called once with the Answer, or with None when the run
                was cancelled.

        Returns:
            The task that runs it, or None when there is no room.
        """
        if not self.has_room:
            return None
        job = self._make_job(request)
        job.attempts = MAX_ATTEMPTS
        self._start_here(job)
        job.task.rawlink(
            lambda _: finish(job.result.value if job.result.ready() else None)
        )
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
            self._finish(job, admission.make_not_run(_DRAINING))
            self._forget(job)
        return tuple(job.request for job in jobs)

    def stop(self):
        """End the background tasks."""
        self._expiry_task.kill(block=False)
        if self._sharing is not None:
            self._sharing.stop()

    def _make_job(self, request):
        long = self._durations.is_long(request.route)
        return job_module.Job(
            request,
            self._clock.monotonic_ms(),
            self._durations.expected_ms(request.route),
            long=long and self._caps_long_work,
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
        if job.long:
            # Each agent's fair share of the permits serves its long work.
            work_ms = sum(j.expected_ms for j in self._waiting_long)
            return work_ms / self._sharing.permit_share()
        if self._free_slots and not self._queue:
            return 0
        return self._drain_rate.wait_ms(
            self._queue.work_ahead_ms(job) + job.expected_ms
        )

    def _accept(self, job):
        if job.long:
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
            self._finish(job, admission.make_not_run(_DRAINING))
            return
        self._queue.push(job)
        self._not_empty.set()
        self.dispatch()

    def dispatch(self):
        """Start queued requests while a slot or an idle peer is free."""
        while self._queue and not self._draining:
            if self._free_slots and self.server_ready:
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
        self._drain_rate.note_queue(bool(self._queue))

    def _take_offer(self):
        if self._sharing is None or not self._settings.share_work:
            return None
        return self._sharing.idle_peers.take()

    def _pop(self):
        job = self._queue.pop()
        if job.request.deadline_ms <= self._clock.monotonic_ms():
            self._finish(job, admission.make_not_run(_EXPIRED))
            return None
        self._drain_rate.note_departure(job.expected_ms)
        return job

    def _start_here(self, job):
        self._free_slots -= 1
        job.task = gevent.spawn(self._run_here, job)
        # A link also runs when the task is killed before it starts.
        job.task.rawlink(lambda task: self._release_slot(job, task))

    def _release_slot(self, job, task):
        self._free_slots += 1
        self._check_failure(job, task)
        self._dispatch_and_offer()

    def _dispatch_and_offer(self):
        self.dispatch()
        if self._sharing is not None and self.has_room:
            self._sharing.note_room()

    def _check_failure(self, job, task):
        """Answer a job whose task ended by an error that nothing handles."""
        if task.exception is not None:
            self._finish(
                job,
                answer.make_refusal(
                    answer.Outcome.UNKNOWN, 'internal error while running'
                ),
            )

    def _run_here(self, job):
        started_ms = self._clock.monotonic_ms()
        try:
            result = self._port.run(job.request)
        except backend_port.NotRunError as error:
            self._back_off()
            self._retry_or_refuse(job, answer.Outcome.NOT_RUN, error)
        except backend_port.OutcomeUnknownError as error:
            self._retry_or_refuse(job, answer.Outcome.UNKNOWN, error)
        else:
            self._backoff_ms = 0
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
        self._finish(job, result)

    def _retry_or_refuse(self, job, outcome, error):
        job.attempts += 1
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
        self._finish(job, answer.make_refusal(outcome, error.reason))

    def _finish(self, job, result):
        if not job.result.ready():
            job.result.set(result)

    def _forget(self, job):
        """Cancel what is left of a job and free what it holds."""
        if not self._queue.remove(job):
            self._waiting_long.pop(job, None)
        self._drain_rate.note_queue(bool(self._queue))
        if job.task is not None:
            job.task.kill(block=False)
        if job.permit is not None:
            self._sharing.permits.release(job.permit)
            job.permit = None

    def _back_off(self):
        self._backoff_ms = min(
            MAX_BACKOFF_MS, 2 * self._backoff_ms or FIRST_BACKOFF_MS
        )
        until_ms = self._clock.monotonic_ms() + self._backoff_ms
        self._server_retry_ms = until_ms
        gevent.spawn(self._dispatch_at, until_ms)

    def _dispatch_at(self, due_ms):
        self._clock.sleep_until(due_ms)
        self._dispatch_and_offer()

    def _expire_queued(self):
        while True:
            self._not_empty.wait()
            now_ms = self._clock.monotonic_ms()
            for job in (*self._queue, *self._waiting_long):
                if job.request.deadline_ms <= now_ms:
                    self._finish(job, admission.make_not_run(_EXPIRED))
                    self._forget(job)
            if not self.queued:
                self._not_empty.clear()
                continue
            self._clock.sleep_until(now_ms + EXPIRY_CHECK_MS)
