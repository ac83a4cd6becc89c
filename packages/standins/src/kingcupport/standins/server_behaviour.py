"""How a backend server stand-in behaves."""

import attrs

DEFAULT_SERVICE_TIME_MS = 5


@attrs.frozen
class ServerBehaviour:
    """Service times, faults and reports of a backend server.

    Args:
        service_time_ms: Time that a request takes.
        route_times_ms: Time by path, for paths that take another time.
        straggler_percent: Share of requests that take longer.
        straggler_factor: How many times longer they take.
        cold_start_ms: Time after the start during which all take longer.
        cold_factor: How many times longer they take then.
        queue_limit_count: Requests that may wait for a slot; more are shed.
        shedding: Refuse all requests with "not run".
        draining: As ``shedding``, and reported as draining.
        failing: Answer 500 after the request has run.
        report_lag_ms: Reports show the state of that long ago.
        report_idle: The load report always says idle and health ready.
        answer_bytes: Length of the answers' filler.
    """

    service_time_ms: float = DEFAULT_SERVICE_TIME_MS
    route_times_ms: dict[str, float] = attrs.field(factory=dict)
    straggler_percent: float = 0
    straggler_factor: float = 50
    cold_start_ms: float = 0
    cold_factor: float = 5
    queue_limit_count: int = 1000
    shedding: bool = False
    draining: bool = False
    failing: bool = False
    report_lag_ms: float = 0
    report_idle: bool = False
    answer_bytes: int = 0
