"""Counters of a balancer that forwards flows."""

import attrs


@attrs.define
class FlowCounters:
    """Totals since the start of the process."""

    packets: int = 0
    packets_malformed: int = 0
    peer_datagrams_malformed: int = 0
    flows_placed: int = 0
    flows_placed_again: int = 0
    flows_waiting: int = 0
    copies_ignored: int = 0
    flows_refused: int = 0
    flows_found: int = 0
    flows_lost: int = 0
    resets_sent: int = 0
    searches: int = 0
    declines: int = 0
    views_pulled: int = 0
    view_pulls_failed: int = 0
    source_calls: int = 0
    source_calls_failed: int = 0
