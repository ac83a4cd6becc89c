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
