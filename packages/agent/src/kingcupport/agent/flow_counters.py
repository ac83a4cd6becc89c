"""Counters of an agent that forwards flows."""

import attrs


@attrs.define
class FlowCounters:
    """Totals since the start of the process."""

    packets_to_server: int = 0
    packets_to_clients: int = 0
    packets_malformed: int = 0
    datagrams_malformed: int = 0
    bounces: int = 0
    declines: int = 0
    flows_accepted: int = 0
    answers: int = 0
    reports_sent: int = 0
