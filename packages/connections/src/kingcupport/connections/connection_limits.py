"""Bounds of one connection."""

import attrs

# TCP gives a SYN-ACK about as long. With 15 s a connection was lost whose
# confirmations went to an agent that was paused for 30 s.
HALF_OPEN_TIMEOUT_MS = 60_000


@attrs.frozen
class ConnectionLimits:
    """Bounds of one connection.

    Args:
        half_open_timeout_ms: Time for the first packet that repeats the
            stream id.
        idle_timeout_ms: Time without a packet after which a connection
            without pending requests ends.
        request_timeout_ms: Time for a whole request after its first byte.
        max_pipelined_count: Requests accepted before the first is answered.
        default_timeout_ms: Time a request may take when the caller states
            none.
    """

    half_open_timeout_ms: int = HALF_OPEN_TIMEOUT_MS
    idle_timeout_ms: int = 86_400_000
    request_timeout_ms: int = 30_000
    max_pipelined_count: int = 16
    default_timeout_ms: int = 10_000
