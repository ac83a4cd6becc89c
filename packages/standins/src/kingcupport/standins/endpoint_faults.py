"""Faults of one endpoint of the configuration service."""

import attrs


@attrs.frozen
class EndpointFaults:
    """What goes wrong with an endpoint's answers.

    Args:
        down: Answer 503.
        stale_revision: Show nothing above this revision; None shows all.
        lag_ms: Show the state of that long ago.
        delay_ms: Hold each answer back that long.
    """

    down: bool = False
    stale_revision: int | None = None
    lag_ms: int = 0
    delay_ms: int = 0
