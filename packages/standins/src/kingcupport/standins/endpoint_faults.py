"""Injected faults of one endpoint of the configuration service."""

import attrs


@attrs.frozen
class EndpointFaults:
    """Faults injected into the answers of an endpoint.

    Args:
        down: Answer all requests with status 503.
        stale_revision: Hide revisions above this one; None hides none.
        lag_ms: Age of the state that is served.
        delay_ms: Delay of each answer.
    """

    down: bool = False
    stale_revision: int | None = None
    lag_ms: int = 0
    delay_ms: int = 0
