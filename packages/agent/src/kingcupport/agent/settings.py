"""Settings of the kingcupport-agent program."""

import attrs

from kingcupport.common import address
from kingcupport.common import settings
from kingcupport.observability import log_settings


@attrs.frozen
class LimitSettings:
    """Limits of an agent, the table ``[limits]`` of the settings file.

    Args:
        max_connections_count: Maximum number of connections owned at once.
        idle_timeout_ms: Time without a packet after which an unused
            connection ends.
        request_timeout_ms: Time from the first byte of a request to its last.
        drain_timeout_ms: Maximum duration of a drain.
        placement_bound_percent: How far the number of connections may exceed
            the mean of the service before new ones are passed on.
        rebalance_per_s: Maximum number of idle connections that are handed
            over to less loaded agents per second.
    """

    max_connections_count: int = settings.setting(20_000, minimum=1)
    idle_timeout_ms: int = settings.setting(86_400_000, minimum=1000)
    request_timeout_ms: int = settings.setting(30_000, minimum=100)
    drain_timeout_ms: int = settings.setting(30_000, minimum=0)
    placement_bound_percent: int = settings.setting(2, minimum=0, maximum=100)
    rebalance_per_s: int = settings.setting(100, minimum=1)


@attrs.frozen
class AgentSettings:
    """Settings of one agent.

    Args:
        name: Name of its backend server in the release notes.
        service: Name of its service.
        data_centre: Name of the data centre of the instance.
        address: Address for envelopes (UDP) and for calls of peers (TCP).
        server_address: HTTP address of the backend server.
        slots_count: Number of requests that the server runs at once.
        http_address: HTTP address of metrics and health.
        configuration_address: Address of the configuration service.
        seeds: Addresses of processes that are queried at start if the
            configuration service is unavailable.
        limits: LimitSettings.
        log: LogSettings.
    """

    name: str
    service: str
    data_centre: str
    address: address.Address
    server_address: address.Address
    http_address: address.Address
    configuration_address: address.Address
    slots_count: int = settings.setting(1, minimum=1, maximum=1024)
    seeds: tuple[address.Address, ...] = ()
    limits: LimitSettings = attrs.field(factory=LimitSettings)
    log: log_settings.LogSettings = attrs.field(
        factory=log_settings.LogSettings
    )
