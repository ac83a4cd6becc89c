"""Routes from public addresses to services."""

import collections
import functools
import zlib

import attrs
import msgpack
import xxhash

# Limit on a decompressed configuration; one of 1,200 routes has 55 KB.
MAX_CONFIGURATION_BYTES = 16 * 1024 * 1024


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

    @functools.cached_property
    def service_names(self):
        """Names of all services that a route may use, as a frozenset."""
        return frozenset(
            name
            for route in self.routes.values()
            for name, _ in route.services
        )

    @functools.cached_property
    def priorities_by_service(self):
        """Ascending priorities of the routes of each service, as tuples."""
        priorities = collections.defaultdict(set)
        for route in self.routes.values():
            for service in route.service_names:
                priorities[service].add(route.priority)
        return {name: tuple(sorted(p)) for name, p in priorities.items()}


# Types of the fields of an encoded route but for its services.
_ROUTE_TYPES = (str, str, int, bool, int, int, int)

EMPTY_CONFIGURATION = FlowConfiguration(0, {})


def encode_configuration(configuration):
    """Return a configuration as bytes for a peer.

    They are compressed, because the routes differ in few places and a whole
    configuration may go to many peers over a slow link.
    """
    plain = [
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
    return zlib.compress(msgpack.packb(plain))


def decode_configuration(data):
    """Return the FlowConfiguration of ``encode_configuration`` bytes.

    Raises:
        ValueError: The bytes are damaged or have another content.
        TypeError: The bytes have another content.
    """
    decompressor = zlib.decompressobj()
    try:
        packed = decompressor.decompress(data, MAX_CONFIGURATION_BYTES)
        plain = msgpack.unpackb(packed)
    except (zlib.error, msgpack.UnpackException, RecursionError) as error:
        raise ValueError(f'configuration is damaged: {error}') from None
    version, idle_timeout_ms, plain_routes = plain
    if (type(version), type(idle_timeout_ms)) != (int, int):
        raise ValueError('version or idle timeout is not an integer')
    routes = list(map(_decode_route, plain_routes))
    return FlowConfiguration(
        version, {route.address: route for route in routes}, idle_timeout_ms
    )


def _decode_route(plain):
    name, (ip, port), services, *rest = plain
    if (type(name), type(ip), type(port), *map(type, rest)) != _ROUTE_TYPES:
        raise ValueError('route has a missing or mistyped field')
    pairs = tuple((service, weight) for service, weight in services)
    if any((type(s), type(w)) != (str, int) for s, w in pairs):
        raise ValueError('route has a mistyped service')
    return FlowRoute(name, (ip, port), pairs, *rest)
