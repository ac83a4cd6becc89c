"""Waits that end at a deadline of the injected clock."""

import gevent


def wait_until(clock, awaited, deadline_ms):
    """Block until an event is set or a deadline has passed.

    Args:
        clock: Clock of the deadline.
        awaited: gevent Event or AsyncResult.
        deadline_ms: Point on the monotonic clock.
    """
    if awaited.ready():
        return
    timer = gevent.spawn(clock.sleep_until, deadline_ms)
    try:
        gevent.wait((awaited, timer), count=1)
    finally:
        timer.kill(block=False)
