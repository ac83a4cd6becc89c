"""Counters of a balancer of forwarded flows."""

import collections

import attrs

from kingcupport.observability import latency_histogram


@attrs.define
class FlowCounters:
    """Totals since the start of the process.

    Attributes:
        resets_by_reason: Number of resets by reason.
        latencies: LatencyHistogram by name: ``opening_wait_ms`` (time that an
            opening packet waited until a server had room),
            ``opening_age_ms`` (time from the client's first packet until
            then), ``source_call_ms`` (duration of calls to the store).
    """

    packets: int = 0
    packets_malformed: int = 0
    peer_datagrams_malformed: int = 0
    flows_placed: int = 0
    flows_placed_again: int = 0
    flows_waiting: int = 0
    flows_in_added_places: int = 0
    copies_ignored: int = 0
    flows_refused: int = 0
    flows_found: int = 0
    flows_lost: int = 0
    resets_sent: int = 0
    searches: int = 0
    declines: int = 0
    pace_reports: int = 0
    views_pulled: int = 0
    view_pulls_failed: int = 0
    source_calls: int = 0
    source_calls_failed: int = 0
    resets_by_reason: collections.Counter = attrs.field(
        factory=collections.Counter, init=False
    )
    latencies: dict = attrs.field(init=False)

    def __attrs_post_init__(self):
        self.latencies = latency_histogram.make_latency_histograms(
            ('opening_wait_ms', 'opening_age_ms', 'source_call_ms')
        )

    def totals(self):
        """Return the integer counters by name."""
        return attrs.asdict(
            self, filter=lambda field, _: field.init, recurse=False
        )
