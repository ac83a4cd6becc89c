"""A request of a connection that is not answered yet."""

import attrs
import gevent
from gevent import event

from kingcupport.requests import request as request_module


@attrs.define(eq=False)
class PendingRequest:
    """A request and its answer once it is available.

    Args:
        request: The Request.
        http_version: ``1.0`` or ``1.1``.
        keep_alive: Whether the connection stays open after the answer.
        result: Set to the Answer when it is available.
        task: The task that waits for the answer, or None.
    """

    request: request_module.Request
    http_version: str
    keep_alive: bool
    result: event.AsyncResult = attrs.field(factory=event.AsyncResult)
    task: gevent.Greenlet | None = None

    def start(self, runner, on_done):
        """Submit the request in a separate task.

        Args:
            runner: The RequestRunner.
            on_done: Called without arguments after the answer is set.
        """
        self.task = gevent.spawn(self._run, runner, on_done)

    def _run(self, runner, on_done):
        self.result.set(runner.submit(self.request))
        on_done()

    def cancel(self):
        """Stop an idempotent request whose caller is gone.

        Any other request continues, so that its result is available if the
        caller retries.
        """
        if self.task is not None and self.request.idempotent:
            self.task.kill(block=False)
