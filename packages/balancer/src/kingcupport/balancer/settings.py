"""Settings of the kingcupport-balancer program."""

import attrs

from kingcupport.common import address
from kingcupport.common import settings
from kingcupport.observability import log_settings
from kingcupport.routing import hint_cache


@attrs.frozen
class LimitSettings:
    """Limits of a balancer, the table ``[limits]``.

    Args:
        hints_count: Maximum number of cached location hints.
        avoid_ms: How long an agent is avoided after its port was
            unreachable.
    """

    hints_count: int = settings.setting(hint_cache.DEFAULT_CAPACITY, minimum=1)
    avoid_ms: int = settings.setting(2_000, minimum=0)


@attrs.frozen
class BalancerSettings:
    """Settings of one balancer.

    Args:
        name: Its name in the release notes.
        data_centre: Name of the data centre of the instance.
        address: Address of the UDP port for packets and of the TCP port for
            peers.
        http_address: HTTP address of metrics and health.
        configuration_address: Address of the configuration service.
        seeds: Addresses of processes that are asked for the fleet at start if
            the configuration service is down.
        limits: LimitSettings.
        log: LogSettings.
    """

    name: str
    data_centre: str
    address: address.Address
    http_address: address.Address
    configuration_address: address.Address
    seeds: tuple[address.Address, ...] = ()
    limits: LimitSettings = attrs.field(factory=LimitSettings)
    log: log_settings.LogSettings = attrs.field(
        factory=log_settings.LogSettings
    )
