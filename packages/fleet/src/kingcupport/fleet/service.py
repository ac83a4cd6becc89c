"""A service that callers reach at one address."""

import attrs

from kingcupport.common import address

DEFAULT_TIMEOUT_MS = 10_000
DEFAULT_RETENTION_MS = 900_000
DEFAULT_LONG_WORK_PERCENT = 40


@attrs.frozen
class Service:
    """A service as the release notes describe it.

    Args:
        name: Unique among services.
        address: Where callers connect.
        default_timeout_ms: Time a request may take when the caller states
            none.
        retention_ms: How long the result of a keyed request is kept.
        long_work_percent: Share of the service's slots that may hold long
            work at once.
    """

    name: str
    address: address.Address
    default_timeout_ms: int = DEFAULT_TIMEOUT_MS
    retention_ms: int = DEFAULT_RETENTION_MS
    long_work_percent: int = DEFAULT_LONG_WORK_PERCENT
