"""What accepts a request and returns its answer."""

import abc


class RequestRunner(abc.ABC):
    """Takes requests from connections; stages of handling are chained."""

    @abc.abstractmethod
    def submit(self, request):
        """Handle a request; blocks the calling task.

        Args:
            request: The Request.

        Returns:
            The Answer: a server's, or a refusal whose outcome is
            ``not-run`` or ``unknown``. Failures of servers and peers are
            turned into refusals and never raised.
        """
