"""The interface to the backend server beside an agent."""

import abc

from kingcupport.common import errors


class NotRunError(errors.KingcupportError):
    """The request certainly did not run, for example because it was shed."""

    code = 'not_run'


class OutcomeUnknownError(errors.KingcupportError):
    """The request may have run, but no whole answer came."""

    code = 'outcome_unknown'


class BackendPort(abc.ABC):
    """Runs requests on one backend server."""

    @abc.abstractmethod
    def run(self, request):
        """Run one request and return its whole Answer.

        Blocks the calling task until the answer is there or the request's
        deadline has passed; killing the task cancels the request.

        Args:
            request: The Request.

        Raises:
            NotRunError: Refused, shed, or the connection could not be made.
            OutcomeUnknownError: The connection failed after the request was
                sent, the deadline passed, or the answer is too large.
        """


def make_backend_port(server_address, clock, slots):
    """Return the port of an HTTP server.

    Args:
        server_address: Address of the server.
        clock: Clock of the deadlines.
        slots: Number of requests that the server runs at once.
    """
    from kingcupport.requests import _http_backend_port

    return _http_backend_port.HttpBackendPort(server_address, clock, slots)
