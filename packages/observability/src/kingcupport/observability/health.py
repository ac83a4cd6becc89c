"""Liveness and readiness of a process."""

import enum


class State(enum.StrEnum):
    """State that a process reports in StatusReply and at ``/readyz``."""

    STARTING = 'starting'
    READY = 'ready'
    NOT_READY = 'not_ready'
    DRAINING = 'draining'


class Health:
    """Liveness and readiness of a process.

    A process starts live and not ready. Draining cannot be undone.
    """

    def __init__(self):
        self.state = State.STARTING
        self.reason = 'starting'
        self.failure = ''

    @property
    def live(self):
        """Whether the process can continue; False after ``fail``."""
        return not self.failure

    @property
    def ready(self):
        """Whether the process accepts new work."""
        return self.live and self.state == State.READY

    @property
    def draining(self):
        """Whether the process has started to drain."""
        return self.state == State.DRAINING

    def set_ready(self):
        """Report ready, unless the process is draining."""
        self._set_state(State.READY, '')

    def set_not_ready(self, reason):
        """Report that the process accepts no new work, unless it is draining.

        A process that was never ready stays in the state ``starting``.

        Args:
            reason: One line for operators.
        """
        started = self.state != State.STARTING
        self._set_state(State.NOT_READY if started else State.STARTING, reason)

    def start_draining(self, reason='draining'):
        """Report draining from now on."""
        self._set_state(State.DRAINING, reason)

    def fail(self, reason):
        """Report that the process cannot continue and must be replaced."""
        self.failure = reason

    def _set_state(self, state, reason):
        if not self.draining:
            self.state = state
            self.reason = reason
