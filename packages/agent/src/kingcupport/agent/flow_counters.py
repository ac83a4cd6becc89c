"""Counters of an agent that forwards flows."""

import attrs

from kingcupport.observability import latency_histogram


@attrs.define
class FlowCounters:
    """Totals since the start of the process.

    Attributes:
        latencies: LatencyHistogram by name: ``answer_ms`` is the time from the
            first packet of a request to the head of its answer.
    """

    packets_to_server: int = 0
    packets_to_clients: int = 0
    packets_malformed: int = 0
    datagrams_malformed: int = 0
    probes: int = 0
    surveys: int = 0
    probe_batches: int = 0
    batches_unanswered: int = 0
    bounces: int = 0
    declines: int = 0
    openings_paced: int = 0
    flows_accepted: int = 0
    answers: int = 0
    reports_sent: int = 0
    pace_reports_sent: int = 0
    latencies: dict = attrs.field(init=False)

    def __attrs_post_init__(self):
        self.latencies = latency_histogram.make_latency_histograms(
            ('answer_ms',)
        )

    def totals(self):
        """Return the integer totals by name."""
        return attrs.asdict(
            self, filter=lambda field, _: field.init, recurse=False
        )
