"""The interface to the backend server beside an agent."""

import abc

from kingcupport.common import errors


class NotRunError(errors.KingcupportError):
    """The request certainly did not run, for example because it was shed."""

    code = 'not_run'


class OutcomeUnknownError(errors.KingcupportError):
    """The request may have run, but no complete answer was received."""

    code = 'outcome_unknown'


class BackendPort(abc.ABC):
    """Runs requests on one backend server."""

    @abc.abstractmethod
    def run(self, request):
        """Run one request and return its complete Answer.

        Blocks the calling task until the answer was received or the
        request's deadline has passed. Killing the task cancels the request.

        Args:
            request: The Request.

        Raises:
            NotRunError: The server refused or shed the request, or the
                connection could not be made.
            OutcomeUnknownError: After the request was sent, the connection
                failed, the deadline passed or the answer was too large.
        """
