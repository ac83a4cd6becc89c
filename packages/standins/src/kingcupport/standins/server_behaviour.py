"""Configurable behaviour of a backend server stand-in."""

import attrs

DEFAULT_SERVICE_TIME_MS = 5


@attrs.frozen
class ServerBehaviour:
    """Service times, faults and reports of a backend server stand-in.

    Args:
        service_time_ms: Run time of a request.
        route_times_ms: Run time by path, for paths with a different one.
        straggler_percent: Share of requests with a longer run time.
        straggler_factor: Factor by which their run time is longer.
        cold_start_ms: Period after the start in which all requests have a
            longer run time.
        cold_factor: Factor by which their run time is longer then.
        queue_limit_count: Maximum number of requests that wait for a slot;
            further ones are shed.
        shedding: Refuse all requests with the outcome ``not-run``.
        draining: Same as ``shedding``, but report the state ``draining``.
        failing: Run requests, then answer them with status 500.
        report_lag_ms: Age of the state that reports show.
        report_idle: Always report an idle and ready server.
        answer_bytes: Length of the answers' filler in bytes.
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
