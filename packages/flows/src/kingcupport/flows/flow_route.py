"""Where new flows to an address go."""

import attrs
import xxhash


@attrs.frozen
class FlowRoute:
    """One address of the platform and the services behind it.

    Args:
        name: Name of the route.
        address: ``(ip, port)`` that clients open flows to.
        services: ``(service name, weight)`` pairs; a new flow goes to one
            of them in proportion to the weights.
        is_idempotent: Whether its requests may run more than once.
        timeout_ms: Time that a client gives a request.
        target_ms: Time within which an answer is worth most.
        priority: 0 is served first.
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
        """Names of the services that new flows may go to."""
        return [name for name, weight in self.services if weight > 0]

    def choose_service(self, flow):
        """Return the service of a flow; copies of a packet get the same.

        Args:
            flow: Bytes that identify the flow.

        Returns:
            Name of a service, or None when no service has a weight.
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
        routes: FlowRoute by address.
        idle_timeout_ms: A flow without a packet for longer may be dropped.
    """

    version: int
    routes: dict
    idle_timeout_ms: int = 60_000


EMPTY_CONFIGURATION = FlowConfiguration(0, {})


def configuration_to_plain(configuration):
    """Return a configuration as lists that msgpack encodes."""
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
    """Return the configuration of ``configuration_to_plain``.

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
