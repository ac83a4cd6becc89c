"""Ends an agent's work without cutting a request or a connection."""

import gevent
from gevent import event

# Time for balancers with an old view to send packets that are passed on.
REDIRECT_LINGER_MS = 2_000
_POLL_MS = 50


class Drain:
    """Drains an agent once, after a signal or its withdrawal.

    Args:
        timeout_ms: Longest time that the drain may take.
        clock: Clock.
        health: Health of the process.
        audit: AuditTrail.
        data_path: DataPath; accepts no new connection from the start on.
        mover: ConnectionMover.
        scheduler: RequestScheduler.
        lent_runs: LentRuns.

    Attributes:
        keyed_runner: KeyedRequestRunner, None before the fleet is known.
    """

    def __init__(
        self,
        timeout_ms,
        clock,
        health,
        audit,
        data_path,
        mover,
        scheduler,
        lent_runs,
    ):
        self._timeout_ms = timeout_ms
        self._clock = clock
        self._health = health
        self._audit = audit
        self._data_path = data_path
        self._mover = mover
        self._scheduler = scheduler
        self._lent_runs = lent_runs
        self._done = event.Event()
        self._task = None
        self.keyed_runner = None

    def start(self, reason):
        """Start the drain; a second call does nothing.

        Args:
            reason: One line for the audit trail.
        """
        if self._task is None:
            self._health.start_draining(reason)
            self._audit.record('drain_started', reason=reason)
            self._task = gevent.spawn(self._run)

    def wait(self, linger_ms=REDIRECT_LINGER_MS):
        """Block until the drain is over and stale balancers had time.

        Args:
            linger_ms: Time after the drain during which packets are still
                passed on.
        """
        self._done.wait()
        self._clock.sleep_until(self._clock.monotonic_ms() + linger_ms)

    def _run(self):
        deadline_ms = self._clock.monotonic_ms() + self._timeout_ms
        self._data_path.draining = True
        self._mover.move_busy()
        # Queued requests end as not run; the new owners of their connections
        # run them.
        self._scheduler.drain()
        left = self._mover.move_all(deadline_ms)
        if self.keyed_runner is not None:
            self.keyed_runner.drain(deadline_ms)
        while (
            self._has_work_for_others()
            and self._clock.monotonic_ms() < deadline_ms
        ):
            self._clock.sleep_until(self._clock.monotonic_ms() + _POLL_MS)
        self._audit.record('drain_finished', connections_left=left)
        self._done.set()

    def _has_work_for_others(self):
        return self._lent_runs.unfetched_count or self._scheduler.running
