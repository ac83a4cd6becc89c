"""Limits of one connection."""

import attrs

# About as long as TCP retries a SYN-ACK. With 15 s, a connection was lost
# whose confirmations were sent to an agent that was paused for 30 s.
HALF_OPEN_TIMEOUT_MS = 60_000


@attrs.frozen
class ConnectionLimits:
    """Limits of one connection.

    Args:
        half_open_timeout_ms: Time until the first packet that carries the
            stream id must arrive.
        idle_timeout_ms: Time without a packet after which a connection
            without pending requests ends.
        request_timeout_ms: Time from the first byte of a request to its last.
        max_pipelined_count: Maximum number of requests in progress.
        default_timeout_ms: Time that a request may take if the caller
            specifies none.
    """

    half_open_timeout_ms: int = HALF_OPEN_TIMEOUT_MS
    idle_timeout_ms: int = 86_400_000
    request_timeout_ms: int = 30_000
    max_pipelined_count: int = 16
    default_timeout_ms: int = 10_000
