"""Faults injected into the fabric's datagrams, in both directions."""

import attrs


@attrs.frozen
class FabricFaults:
    """Faults of datagrams between the fabric and balancers or agents.

    Args:
        drop_percent: Share of datagrams that are dropped.
        duplicate_percent: Share of datagrams that are delivered twice.
        reorder_percent: Share of datagrams that are delayed, so that later
            ones overtake them.
        reorder_delay_ms: Delay of the reordered datagrams.
        cut_balancers: ``ip:port`` of balancers that receive no datagrams.
    """

    drop_percent: float = 0
    duplicate_percent: float = 0
    reorder_percent: float = 0
    reorder_delay_ms: float = 20
    cut_balancers: list[str] = attrs.field(factory=list)
