"""Settings of a RequestScheduler."""

import attrs

# About a third of the bound on the wait of accepted short requests, which is
# a quarter of the time to their deadline.
DEFAULT_WAIT_PERCENT = 8


@attrs.frozen
class SchedulerSettings:
    """Policies of a RequestScheduler, compared by bench/peak_load.py.

    Args:
        order: Name of the QueueOrder.
        admission: Whether requests with too long an expected wait are refused.
        wait_percent: Percentage of the time to its deadline that a short
            request may be expected to wait.
        share_work: Whether queued requests may be transferred to peers.
        cap_long_work: Whether long requests need a permit.
    """

    order: str = 'short_first'
    admission: bool = True
    wait_percent: int = DEFAULT_WAIT_PERCENT
    share_work: bool = True
    cap_long_work: bool = True
