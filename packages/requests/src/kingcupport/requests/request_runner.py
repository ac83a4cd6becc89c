"""Interface of the stages that handle requests."""

import abc


class RequestRunner(abc.ABC):
    """Accepts requests and returns their answers; runners can be chained."""

    @abc.abstractmethod
    def submit(self, request):
        """Handle a request; blocks the calling task.

        Args:
            request: The Request.

        Returns:
            The Answer of a server, or a refusal whose outcome is
            ``not-run`` or ``unknown``. Failures of servers and peers are
            returned as refusals and never raised.
        """
