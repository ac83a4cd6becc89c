"""Backend port that blocks claimed requests after a process pause."""

from kingcupport.requests import backend_port


class ClaimGatePort(backend_port.BackendPort):
    """Delegates to another port, but refuses claimed requests after a pause.

    A claim may have moved to another agent while the process was paused.
    Claimed requests that were queued before the pause are therefore refused
    as not run until enough peers have confirmed this agent's view.

    Args:
        port: BackendPort that runs the requests.

    Attributes:
        may_run: Callable that returns whether claimed requests may start. It
            always returns True until it is replaced by
            ``KeyedRequestRunner.may_run``.
    """

    def __init__(self, port):
        self._port = port
        self.may_run = lambda: True

    def run(self, request):
        """Implement ``BackendPort.run``."""
        if request.needs_claim and not self.may_run():
            raise backend_port.NotRunError(
                'this agent was paused and has not compared its view yet',
                step='start_claimed_work',
            )
        return self._port.run(request)
