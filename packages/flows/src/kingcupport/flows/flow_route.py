"""Routes from public addresses to services."""

import attrs
import xxhash


@attrs.frozen
class FlowRoute:
    """A public address and the services that get its new flows.

    Args:
        name: Name of the route.
        address: ``(ip, port)`` that clients open flows to.
        services: ``(service name, weight)`` pairs; a new flow goes to one
            of them in proportion to the weights.
        is_idempotent: Whether its requests may run more than once.
        timeout_ms: Time after which a client gives up a request; 0 if not
            configured.
        target_ms: Latency target, within which an answer has its full value;
            0 if not configured.
        priority: Priority of its flows; 0 is placed first.
    """

    name: str
    address: tuple
    services: tuple
    is_idempotent: bool = False
    timeout_ms: int = 0
    target_ms: int = 0
    priority: int = 0

    @property
    def service_names(self):
        """Names of the services that have a weight above 0."""
        return [name for name, weight in self.services if weight > 0]

    def choose_service(self, flow):
        """Return the service of a flow.

        The choice depends on a hash of the flow, so that retransmitted packets
        go to the same service.

        Args:
            flow: Bytes that identify the flow.

        Returns:
            Name of a service, or None if all weights are 0.
        """
        total = sum(weight for _, weight in self.services)
        if total <= 0:
            return None
        point = xxhash.xxh3_64_intdigest(flow) % total
        for name, weight in self.services:
            if point < weight:
                return name
            point -= weight
        return None


@attrs.frozen
class FlowConfiguration:
    """The routes in force.

    Args:
        version: Version of the configuration; a greater one is newer.
        routes: FlowRoute by ``(ip, port)``.
        idle_timeout_ms: Time without a packet after which a flow may be
            dropped.
    """

    version: int
    routes: dict
    idle_timeout_ms: int = 60_000


EMPTY_CONFIGURATION = FlowConfiguration(0, {})


def configuration_to_plain(configuration):
    """Return a configuration as nested lists for msgpack."""
    return [
        configuration.version,
        configuration.idle_timeout_ms,
        [
            [
                route.name,
                list(route.address),
                [list(pair) for pair in route.services],
                route.is_idempotent,
                route.timeout_ms,
                route.target_ms,
                route.priority,
            ]
            for route in configuration.routes.values()
        ],
    ]


def configuration_from_plain(plain):
    """Return the FlowConfiguration of ``configuration_to_plain`` lists.

    Raises:
        ValueError: The lists have another shape.
        TypeError: The lists have another shape.
    """
    version, idle_timeout_ms, plain_routes = plain
    routes = [
        FlowRoute(name, tuple(address), tuple(map(tuple, services)), *rest)
        for name, address, services, *rest in plain_routes
    ]
    return FlowConfiguration(
        version, {route.address: route for route in routes}, idle_timeout_ms
    )
