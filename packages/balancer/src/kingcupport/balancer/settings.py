"""Settings of the kingcupport-balancer program."""

import attrs

from kingcupport.common import address
from kingcupport.common import settings
from kingcupport.observability import log_settings
from kingcupport.routing import hint_cache


@attrs.frozen
class LimitSettings:
    """Bounds of a balancer, the table ``[limits]``.

    Args:
        hints_count: Location hints kept.
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
        data_centre: Where the instance stands.
        address: UDP port for packets and TCP port for peers.
        http_address: Where metrics and health are served.
        configuration_address: The configuration service.
        seeds: Processes that are asked at start if the service is down.
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
