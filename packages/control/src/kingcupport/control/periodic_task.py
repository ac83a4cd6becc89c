"""Runs a step again and again until the task is killed."""

import logging

import gevent

LOG = logging.getLogger(__name__)

# A loop that fails at once must not take up the processor.
RESTART_PAUSE_MS = 100


def run_periodically(clock, next_delay_ms, step):
    """Wait and run a step, without end.

    Args:
        clock: Clock to wait on.
        next_delay_ms: Callable that returns the time before the next step.
        step: Callable; an exception is logged and does not end the task.
    """
    while True:
        clock.sleep_until(clock.monotonic_ms() + next_delay_ms())
        run_safely(step)


def run_safely(step):
    """Run a step and log an exception instead of raising it."""
    try:
        step()
    except Exception:
        LOG.exception('control step failed')


def run_again(loop):
    """Run a loop again when it fails, with a log line and a pause.

    Args:
        loop: Callable that is not expected to return.
    """
    while True:
        try:
            loop()
        except Exception:
            LOG.exception('task failed; it is started again')
        gevent.sleep(RESTART_PAUSE_MS / 1000)
