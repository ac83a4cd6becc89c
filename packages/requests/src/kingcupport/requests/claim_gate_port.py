"""Holds claimed work back after the process was paused."""

from kingcupport.requests import backend_port


class ClaimGatePort(backend_port.BackendPort):
    """Runs requests on another port, claimed ones only while allowed.

    A claim may have passed to another agent while the process was paused.
    Work that was queued before the pause is therefore refused as not run
    until the view was compared with peers.

    Args:
        port: BackendPort that runs the requests.

    Attributes:
        may_run: Returns whether claimed work may start;
            ``KeyedRequestRunner.may_run`` once there is one.
    """

    def __init__(self, port):
        self._port = port
        self.may_run = lambda: True

    def run(self, request):
        """Implement ``BackendPort.run``."""
        if request.claimed and not self.may_run():
            raise backend_port.NotRunError(
                'this agent was paused and has not compared its view yet',
                step='start_claimed_work',
            )
        return self._port.run(request)
