"""A request of a connection that has not been answered yet."""

import attrs
import gevent
from gevent import event

from kingcupport.requests import request as request_module


@attrs.define(eq=False)
class PendingRequest:
    """A request and, once known, its answer.

    Args:
        request: The Request.
        http_version: ``1.0`` or ``1.1``.
        keep_alive: Whether the connection stays open after the answer.
        result: Set to the Answer when it is known.
        task: The task that waits for the answer, or None.
    """

    request: request_module.Request
    http_version: str
    keep_alive: bool
    result: event.AsyncResult = attrs.field(factory=event.AsyncResult)
    task: gevent.Greenlet | None = None

    def start(self, runner, on_done):
        """Submit the request in a task of its own.

        Args:
            runner: The RequestRunner.
            on_done: Called without arguments when the answer is set.
        """
        self.task = gevent.spawn(self._run, runner, on_done)

    def _run(self, runner, on_done):
        self.result.set(runner.submit(self.request))
        on_done()

    def cancel(self):
        """Stop waiting for an answer that nobody can receive any more.

        A request that must not run twice goes on, so that its result is
        known when the caller retries.
        """
        if self.task is not None and self.request.idempotent:
            self.task.kill(block=False)
