"""Queue that runs an agent's requests locally or at peers."""

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

# A peer's request is prefetched only if a slot is expected to be free within
# this time. Behind a longer run it would gain nothing over waiting in the
# queue of its own agent.
MAX_PREFETCH_WAIT_MS = 50
EXPIRY_CHECK_INTERVAL_MS = 50

_REASON_DRAINING = 'this server is being withdrawn'
_REASON_EXPIRED = 'the deadline passed in the queue'


class RequestScheduler(request_runner.RequestRunner):
    """Owns each accepted request until it has been answered once.

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
        self._awaiting_permit = {}
        self._prefetched = collections.deque()
        self._admission = admission.Admission(settings.wait_percent)
        self._route_durations = route_durations.RouteDurations()
        self._drain_rate = drain_rate.DrainRate(clock, slots)
        self._retry_budget = retry_budget.RetryBudget()
        self._draining = False
        self._server_health = server_health.ServerHealth(clock)
        self._not_empty = event.Event()
        self._expiry_task = gevent.spawn(self._expire_queued)
        if sharing is not None:
            sharing.attach(self)

    @property
    def queued(self):
        """Number of requests that wait at this agent."""
        return len(self._queue) + len(self._awaiting_permit)

    @property
    def running(self):
        """Number of requests that run on the agent's server."""
        return self._slots.running

    @property
    def server_ready(self):
        """Whether the agent's server accepts requests at present."""
        return self._server_health.ready

    def free_slot_in_ms(self):
        """Return when a peer's request could start on this agent's server.

        Returns:
            Milliseconds until a slot is expected to be free, or None when
            this agent accepts no peer's request.
        """
        if self._queue or self._prefetched or self._draining:
            return None
        if not (self.server_ready and self._shares_work):
            return None
        wait_ms = self._slot_wait_ms()
        return wait_ms if wait_ms <= MAX_PREFETCH_WAIT_MS else None

    def needs_peers(self):
        """Return whether queued requests wait longer than a transfer takes."""
        return (
            len(self._queue) > 0
            and not self._draining
            and self._slot_wait_ms() > 2 * idle_peers.MAX_TRANSFER_MS
        )

    def _slot_wait_ms(self):
        return self._slots.wait_ms() if self.server_ready else math.inf

    def submit(self, request):
        """Run a request locally or at a peer; see ``RequestRunner.submit``."""
        if self._draining:
            return admission.make_not_run_answer(_REASON_DRAINING)
        job = self._make_job(request)
        refusal = self._refusal(job)
        if refusal is not None:
            return refusal
        self._accept(job)
        try:
            return job.result.get()
        finally:
            self._clean_up(job)

    def start_transferred(self, request, on_end):
        """Run a request that a peer has transferred.

        Args:
            request: The Request.
            on_end: Called with the Job when the task ends. A Job without a
                result was cancelled; one without ``started`` did not run.

        Returns:
            The task that runs it, or None when no slot is free soon.
        """
        wait_ms = self.free_slot_in_ms()
        if wait_ms is None:
            return None
        job = self._make_job(request)
        job.attempts = MAX_ATTEMPTS
        if wait_ms:
            self._prefetch(job)
        else:
            self._start_locally(job)
        job.task.rawlink(lambda _: on_end(job))
        return job.task

    def drain(self):
        """Start no further requests and let the running ones finish.

        Returns:
            Tuple of the Requests that have not started. Their ``submit``
            calls return a refusal with outcome ``not-run`` once the calling
            task waits. A request that is in transfer to a peer gets the same
            refusal later if the peer refuses it.
        """
        self._draining = True
        jobs = (*self._queue, *self._awaiting_permit)
        for job in jobs:
            job.finish(admission.make_not_run_answer(_REASON_DRAINING))
            self._clean_up(job)
        for job in self._prefetched:
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
            self._route_durations.expected_ms(request.route),
            long=self._route_durations.is_long(request.route),
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
            # Assumes that each agent uses its fair share of the permits.
            work_ms = sum(j.expected_ms for j in self._awaiting_permit)
            return work_ms / self._sharing.permits_per_agent()
        if self._slots.free and not self._queue:
            return 0
        return self._drain_rate.wait_ms(
            self._queue.work_ahead_ms(job) + job.expected_ms
        )

    def _accept(self, job):
        if job.long and self._caps_long_work:
            self._awaiting_permit[job] = True
            job.task = gevent.spawn(self._wait_for_permit, job)
            self._not_empty.set()
        else:
            self._enqueue(job)

    def _wait_for_permit(self, job):
        job.permit = self._sharing.permits.acquire()
        del self._awaiting_permit[job]
        job.task = None
        self._enqueue(job)

    def _enqueue(self, job):
        if self._draining:
            job.finish(admission.make_not_run_answer(_REASON_DRAINING))
            return
        self._queue.push(job)
        self._not_empty.set()
        self.dispatch()

    def dispatch(self):
        """Start queued requests while a local slot or an idle peer is free."""
        while self._slots.free and self._prefetched and self.server_ready:
            self._start_locally(self._prefetched.popleft())
        while self._queue and not self._draining:
            if self._slots.free and self.server_ready:
                job = self._pop()
                if job is not None:
                    self._start_locally(job)
                continue
            offer = self._take_offer()
            if offer is None:
                break
            job = self._pop()
            if job is not None:
                self._start_at_peer(job, offer)
        self._update_drain_rate()
        if self._shares_work and self.needs_peers():
            self._sharing.signal_queued_work()

    def _update_drain_rate(self):
        self._drain_rate.update_state(
            len(self._queue) > 0, self._slots.blocked
        )

    @property
    def _shares_work(self):
        return self._sharing is not None and self._settings.share_work

    def _take_offer(self):
        if not self._shares_work:
            return None
        return self._sharing.idle_peers.take_offer(self._slot_wait_ms())

    def _pop(self):
        job = self._queue.pop()
        if job.request.deadline_ms <= self._clock.monotonic_ms():
            job.finish(admission.make_not_run_answer(_REASON_EXPIRED))
            return None
        self._drain_rate.record_departure(job.expected_ms)
        return job

    def _start_locally(self, job):
        self._slots.start(job)
        self._update_drain_rate()
        job.started = True
        if job.slot_granted is not None:
            job.slot_granted.set()
        else:
            job.task = gevent.spawn(self._run_locally, job)
        # The link is also called when the task is killed before it starts.
        job.task.rawlink(lambda task: self._release_slot(job, task))
        if self._sharing is not None:
            self._sharing.signal_slot_change()

    def _prefetch(self, job):
        """Accept a peer's request shortly before a slot is free.

        Without prefetching, a slot is idle for a network round trip after
        each run. If the current run takes longer than expected, the request
        is returned to the peer.
        """
        job.slot_granted = event.Event()
        job.task = gevent.spawn(self._run_prefetched, job)
        self._prefetched.append(job)

    def _run_prefetched(self, job):
        return_at_ms = self._clock.monotonic_ms() + 2 * MAX_PREFETCH_WAIT_MS
        try:
            _waiting.wait_until(self._clock, job.slot_granted, return_at_ms)
        finally:
            if not job.started:
                self._prefetched.remove(job)
        if not job.started:
            return
        if job.request.deadline_ms <= self._clock.monotonic_ms():
            job.finish(admission.make_not_run_answer(_REASON_EXPIRED))
            return
        self._run_locally(job)

    def _release_slot(self, job, task):
        self._slots.end(job)
        self._handle_task_error(job, task)
        self._dispatch_and_signal()

    def _dispatch_and_signal(self):
        self.dispatch()
        if self._sharing is not None:
            self._sharing.signal_slot_change()

    def _handle_task_error(self, job, task):
        """Answer a job whose task ended with an unhandled exception."""
        if task.exception is not None:
            job.finish(
                answer.make_refusal(
                    answer.Outcome.UNKNOWN,
                    'internal error while running',
                ),
            )

    def _run_locally(self, job):
        started_ms = self._clock.monotonic_ms()
        try:
            result = self._port.run(job.request)
        except backend_port.NotRunError as error:
            gevent.spawn(
                self._dispatch_at, self._server_health.record_failure()
            )
            self._retry_or_refuse(job, answer.Outcome.NOT_RUN, error)
        except backend_port.OutcomeUnknownError as error:
            self._retry_or_refuse(job, answer.Outcome.UNKNOWN, error)
        else:
            self._server_health.record_success()
            elapsed_ms = self._clock.monotonic_ms() - started_ms
            self._route_durations.record(job.request.route, elapsed_ms)
            self._succeed(job, result)

    def _start_at_peer(self, job, offer):
        job.task = gevent.spawn(self._run_at_peer, job, *offer)
        job.task.rawlink(lambda task: self._handle_task_error(job, task))

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
            self._route_durations.record(job.request.route, elapsed_ms)
            self._succeed(job, result)

    def _succeed(self, job, result):
        self._retry_budget.record_success()
        job.finish(result)

    def _retry_or_refuse(self, job, outcome, error):
        job.attempts += 1
        job.may_have_run |= outcome == answer.Outcome.UNKNOWN
        may_retry = (
            (outcome == answer.Outcome.NOT_RUN or job.request.idempotent)
            and job.attempts < MAX_ATTEMPTS
            and job.request.deadline_ms > self._clock.monotonic_ms()
            and not self._draining
        )
        if may_retry and self._retry_budget.spend():
            job.task = None
            self._enqueue(job)
            return
        job.finish(answer.make_refusal(outcome, error.reason))

    def _clean_up(self, job):
        """Remove a job from its queue, end its task and release its permit."""
        if not self._queue.remove(job):
            self._awaiting_permit.pop(job, None)
        self._update_drain_rate()
        if job.task is not None:
            job.task.kill(block=False)
        if job.permit is not None:
            self._sharing.permits.release(job.permit)
            job.permit = None

    def _dispatch_at(self, start_at_ms):
        self._clock.sleep_until(start_at_ms)
        self._dispatch_and_signal()

    def _expire_queued(self):
        while True:
            self._not_empty.wait()
            now_ms = self._clock.monotonic_ms()
            for job in (*self._queue, *self._awaiting_permit):
                if job.request.deadline_ms <= now_ms:
                    job.finish(admission.make_not_run_answer(_REASON_EXPIRED))
                    self._clean_up(job)
            if not self.queued:
                self._not_empty.clear()
                continue
            self._clock.sleep_until(now_ms + EXPIRY_CHECK_INTERVAL_MS)
