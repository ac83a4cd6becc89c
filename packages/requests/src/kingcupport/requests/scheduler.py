"""Queues an agent's requests and runs them on its backend server."""

import collections

import gevent
from gevent import event

from kingcupport.requests import answer
from kingcupport.requests import backend_port
from kingcupport.requests import request_runner


class RequestScheduler(request_runner.RequestRunner):
    """Runs requests first come, first served, one for each slot.

    Args:
        port: BackendPort of the agent's server.
        clock: Clock of the deadlines.
        slots: Number of requests that the server runs at once.
    """

    def __init__(self, port, clock, slots):
        self._port = port
        self._clock = clock
        self._free_slots = slots
        self._queue = collections.deque()
        self._draining = False

    def submit(self, request):
        """Run a request when a slot is free; see ``RequestRunner.submit``."""
        if self._draining:
            return _refuse('this server is being withdrawn')
        job = _Job(request)
        self._queue.append(job)
        self._dispatch()
        try:
            return job.result.get()
        finally:
            if job in self._queue:
                self._queue.remove(job)
            if job.task is not None:
                job.task.kill(block=False)

    def drain(self):
        """Start no further requests; running ones finish.

        Returns:
            Tuple of the Requests that have not started. Their ``submit``
            calls return a refusal with outcome ``not-run`` once the calling
            task waits.
        """
        self._draining = True
        jobs = tuple(self._queue)
        self._queue.clear()
        for job in jobs:
            job.result.set(_refuse('this server is being withdrawn'))
        return tuple(job.request for job in jobs)

    def _dispatch(self):
        while self._free_slots and self._queue:
            job = self._queue.popleft()
            if job.request.deadline_ms <= self._clock.monotonic_ms():
                job.result.set(_refuse('the deadline passed in the queue'))
                continue
            self._free_slots -= 1
            job.task = gevent.spawn(self._run, job)
            # A link also runs when the task is killed before it starts.
            job.task.rawlink(self._release_slot)

    def _run(self, job):
        job.result.set(self._run_on_server(job.request))

    def _release_slot(self, _):
        self._free_slots += 1
        self._dispatch()

    def _run_on_server(self, request):
        try:
            return self._port.run(request)
        except backend_port.NotRunError as error:
            return _refuse(error.reason)
        except backend_port.OutcomeUnknownError as error:
            return answer.make_refusal(answer.Outcome.UNKNOWN, error.reason)


class _Job:
    def __init__(self, request):
        self.request = request
        self.result = event.AsyncResult()
        self.task = None


def _refuse(reason):
    return answer.make_refusal(answer.Outcome.NOT_RUN, reason)
