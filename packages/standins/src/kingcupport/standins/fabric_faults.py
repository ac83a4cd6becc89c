"""Faults of the fabric's datagrams, in both directions."""

import attrs


@attrs.frozen
class FabricFaults:
    """What happens to datagrams between fabric and balancers or agents.

    Args:
        drop_percent: Share of datagrams that are lost.
        duplicate_percent: Share of datagrams that arrive twice.
        reorder_percent: Share of datagrams that later ones overtake.
        reorder_delay_ms: How long those are held back.
        cut_balancers: ``ip:port`` of balancers to which all are lost.
    """

    drop_percent: float = 0
    duplicate_percent: float = 0
    reorder_percent: float = 0
    reorder_delay_ms: float = 20
    cut_balancers: list[str] = attrs.field(factory=list)
