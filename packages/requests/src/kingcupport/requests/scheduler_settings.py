"""Which mechanisms a RequestScheduler uses."""

import attrs

# Half of the bound of a quarter of the deadline for accepted short requests.
DEFAULT_WAIT_PERCENT = 8


@attrs.frozen
class SchedulerSettings:
    """Choices that bench/peak_load.py compares.

    Args:
        order: Name of the QueueOrder.
        admission: Whether requests are refused by their expected wait.
        wait_percent: Share of the time to its deadline that a short request
            may be expected to wait.
        share_work: Whether work moves between agents.
        cap_long_work: Whether long work needs a permit.
    """

    order: str = 'short_first'
    admission: bool = True
    wait_percent: int = DEFAULT_WAIT_PERCENT
    share_work: bool = True
    cap_long_work: bool = True
