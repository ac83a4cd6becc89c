"""Counters of the balancer's data path."""

import attrs


@attrs.define
class DataPathCounters:
    """Numbers of datagrams since the start.

    Plain integers, because a metrics library call for each packet would
    cost more than the forwarding itself; they are copied to the metrics when
    these are read.

    Args:
        datagrams: Received.
        forwarded: Packets sent on to an agent.
        refused: OPEN packets for an address that no host serves.
        dropped: Other packets for an address that no host serves.
        malformed: Datagrams that could not be decoded.
        hints: Location hints received.
        unreachable: Errors reported for an agent's address.
    """

    datagrams: int = 0
    forwarded: int = 0
    refused: int = 0
    dropped: int = 0
    malformed: int = 0
    hints: int = 0
    unreachable: int = 0
