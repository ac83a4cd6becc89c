"""Counters of the balancer's data path."""

import attrs


@attrs.define
class DataPathCounters:
    """Numbers of datagrams since the start of the process.

    Plain integers, because a call to the metrics library for each packet
    would cost more than forwarding it. They are copied to the metrics when
    these are scraped.

    Args:
        datagrams: Datagrams received.
        forwarded: Packets forwarded to an agent.
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
