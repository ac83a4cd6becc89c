"""Loops of background tasks."""

import logging

import gevent
from gevent import event

LOG = logging.getLogger(__name__)

# Prevents a loop that fails immediately from using all CPU time.
RESTART_PAUSE_MS = 100


def run_periodically(clock, next_delay_ms, step):
    """Call a function repeatedly, with a delay before each call.

    Does not return; the task ends when it is killed.

    Args:
        clock: Clock to wait on.
        next_delay_ms: Callable that returns the delay before the next call.
        step: Callable; its exceptions are logged and do not end the task.
    """
    while True:
        clock.sleep_until(clock.monotonic_ms() + next_delay_ms())
        run_and_log_errors(step)


def run_in_event_loop(interval_ms, step):
    """Call a function at an interval from the event loop itself.

    Does not return; the task ends when it is killed. A task that sleeps
    between calls takes three times as long for each wake-up.

    Args:
        interval_ms: Time between calls, and before the first.
        step: Callable that must not wait for anything; its exceptions are
            logged and do not end the task.
    """
    interval_s = interval_ms / 1000
    timer = gevent.get_hub().loop.timer(interval_s, interval_s)
    timer.start(run_and_log_errors, step)
    try:
        event.Event().wait()
    finally:
        timer.stop()
        timer.close()


def run_and_log_errors(step):
    """Call a function and log an exception instead of raising it."""
    try:
        step()
    except Exception:
        LOG.exception('periodic step failed; the task continues')


def run_with_restart(loop):
    """Restart a loop whenever it fails or returns, after a pause.

    Exceptions are logged.

    Args:
        loop: Callable that is not expected to return.
    """
    while True:
        try:
            loop()
        except Exception:
            LOG.exception('task failed; restarting it')
        gevent.sleep(RESTART_PAUSE_MS / 1000)
