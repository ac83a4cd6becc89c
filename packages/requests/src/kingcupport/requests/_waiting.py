"""Waiting for events with a deadline on the injected clock."""

import gevent


def wait_until(clock, awaited_event, deadline_ms):
    """Block until an event is set or the deadline has passed.

    Args:
        clock: Clock of the deadline.
        awaited_event: gevent Event or AsyncResult.
        deadline_ms: Point on the monotonic clock.
    """
    if awaited_event.ready():
        return
    timer = gevent.spawn(clock.sleep_until, deadline_ms)
    try:
        gevent.wait((awaited_event, timer), count=1)
    finally:
        timer.kill(block=False)
