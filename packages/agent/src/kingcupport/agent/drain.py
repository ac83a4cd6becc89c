"""Drains an agent without interrupting requests or connections."""

import gevent
from gevent import event

# After a drain the agent passes packets on for this time, for balancers that
# still route by an older revision.
REDIRECT_GRACE_MS = 2_000
_POLL_INTERVAL_MS = 50


class Drain:
    """Drains an agent once, after a signal or its withdrawal.

    Args:
        timeout_ms: Maximum duration of the drain.
        clock: Clock.
        health: Health of the process.
        audit: AuditTrail.
        data_path: DataPath, which accepts no new connection once the drain
            has started.
        mover: ConnectionMover.
        scheduler: RequestScheduler.
        handed_over_requests: HandedOverRequests.

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
        handed_over_requests,
    ):
        self._timeout_ms = timeout_ms
        self._clock = clock
        self._health = health
        self._audit = audit
        self._data_path = data_path
        self._mover = mover
        self._scheduler = scheduler
        self._handed_over_requests = handed_over_requests
        self._done = event.Event()
        self._task = None
        self.keyed_runner = None

    def start(self, reason):
        """Start the drain unless it has been started.

        Args:
            reason: One line for the audit trail.
        """
        if self._task is None:
            self._health.start_draining(reason)
            self._audit.record('drain_started', reason=reason)
            self._task = gevent.spawn(self._run)

    def wait(self, grace_ms=REDIRECT_GRACE_MS):
        """Block until the drain and the grace period after it are over.

        Args:
            grace_ms: Time after the drain during which packets are still
                passed on to the new owners.
        """
        self._done.wait()
        self._clock.sleep_until(self._clock.monotonic_ms() + grace_ms)

    def _run(self):
        deadline_ms = self._clock.monotonic_ms() + self._timeout_ms
        self._data_path.draining = True
        self._mover.move_busy()
        # Queued requests end with outcome NOT_RUN, and the new owners of their
        # connections run them.
        self._scheduler.drain()
        connections_left = self._mover.move_all(deadline_ms)
        if self.keyed_runner is not None:
            self.keyed_runner.drain(deadline_ms)
        while (
            self._has_unfinished_requests()
            and self._clock.monotonic_ms() < deadline_ms
        ):
            self._clock.sleep_until(
                self._clock.monotonic_ms() + _POLL_INTERVAL_MS
            )
        self._audit.record('drain_finished', connections_left=connections_left)
        self._done.set()

    def _has_unfinished_requests(self):
        return (
            self._handed_over_requests.unfetched_count
            or self._scheduler.running
        )
