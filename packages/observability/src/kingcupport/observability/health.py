"""Whether a process is alive and whether it takes work."""

import enum


class State(enum.StrEnum):
    """What a process reports of itself in StatusReply and ``/readyz``."""

    STARTING = 'starting'
    READY = 'ready'
    NOT_READY = 'not_ready'
    DRAINING = 'draining'


class Health:
    """Liveness and readiness of a process.

    A process starts alive and not ready. Draining is final.
    """

    def __init__(self):
        self.state = State.STARTING
        self.reason = 'starting'
        self.failure = ''

    @property
    def live(self):
        """Whether the process can go on; False after ``fail``."""
        return not self.failure

    @property
    def ready(self):
        """Whether the process takes new work."""
        return self.live and self.state == State.READY

    @property
    def draining(self):
        """Whether the process has started to drain."""
        return self.state == State.DRAINING

    def set_ready(self):
        """Report ready, unless the process drains."""
        self._change(State.READY, '')

    def set_not_ready(self, reason):
        """Report that the process takes no new work, unless it drains.

        Args:
            reason: One line for operators. A process that was never ready
                stays in the state ``starting``.
        """
        started = self.state != State.STARTING
        self._change(State.NOT_READY if started else State.STARTING, reason)

    def start_draining(self, reason='draining'):
        """Report draining from now on."""
        self._change(State.DRAINING, reason)

    def fail(self, reason):
        """Report that the process cannot go on and has to be replaced."""
        self.failure = reason

    def _change(self, state, reason):
        if not self.draining:
            self.state = state
            self.reason = reason
