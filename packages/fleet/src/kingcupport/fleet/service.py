"""A service, which clients reach at a single address."""

import attrs

from kingcupport.common import address

DEFAULT_TIMEOUT_MS = 10_000
DEFAULT_RETENTION_MS = 900_000
DEFAULT_LONG_WORK_PERCENT = 40


@attrs.frozen
class Service:
    """A service as defined by the release notes.

    Args:
        name: Unique among services.
        address: Address that clients connect to.
        default_timeout_ms: Timeout of a request that does not set one.
        retention_ms: Time for which the result of a request with an
            idempotency key is kept.
        long_work_percent: Share of the service's slots that long-running
            requests may occupy at the same time.
    """

    name: str
    address: address.Address
    default_timeout_ms: int = DEFAULT_TIMEOUT_MS
    retention_ms: int = DEFAULT_RETENTION_MS
    long_work_percent: int = DEFAULT_LONG_WORK_PERCENT
