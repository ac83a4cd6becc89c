"""Routes from public addresses to services."""

import collections
import functools
import zlib

import attrs
import msgpack
import xxhash

from kingcupport.flows import cold_limit

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
        cold_limits: ``(openings_per_s, cold_ms)`` by the name of the service:
            the opening packets that a cold server can take, and for how long a
            server is cold. Services without a limit are left out.
        rejected_cold_limits: Names of the services whose limit is not valid,
            each with the reason; not sent to peers.
    """

    version: int
    routes: dict
    idle_timeout_ms: int = 60_000
    cold_limits: dict = attrs.field(factory=dict)
    rejected_cold_limits: tuple = ()

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
    configuration may go to many peers over a slow link. Limits of cold servers
    follow the compressed part, where former versions ignore them.
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
    data = zlib.compress(msgpack.packb(plain))
    if configuration.cold_limits:
        rows = [
            [name, float(openings_per_s), cold_ms]
            for name, (openings_per_s, cold_ms) in sorted(
                configuration.cold_limits.items()
            )
        ]
        data += msgpack.packb(rows)
    return data


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
        rows = (
            msgpack.unpackb(decompressor.unused_data)
            if decompressor.unused_data
            else []
        )
    except (zlib.error, msgpack.UnpackException, RecursionError) as error:
        raise ValueError(f'configuration is damaged: {error}') from None
    version, idle_timeout_ms, plain_routes = plain
    if (type(version), type(idle_timeout_ms)) != (int, int):
        raise ValueError('version or idle timeout is not an integer')
    routes = list(map(_decode_route, plain_routes))
    return FlowConfiguration(
        version,
        {route.address: route for route in routes},
        idle_timeout_ms,
        dict(map(_decode_cold_limit, rows)),
    )


def _decode_cold_limit(row):
    name, openings_per_s, cold_ms = row
    if tuple(map(type, row)) != (str, float, int) or not (
        0 < openings_per_s <= cold_limit.MAX_OPENINGS_PER_S
        and 0 <= cold_ms <= cold_limit.MAX_COLD_MS
    ):
        raise ValueError('limit of cold servers has an invalid field')
    return name, (openings_per_s, cold_ms)


def _decode_route(plain):
    name, (ip, port), services, *rest = plain
    if (type(name), type(ip), type(port), *map(type, rest)) != _ROUTE_TYPES:
        raise ValueError('route has a missing or mistyped field')
    pairs = tuple((service, weight) for service, weight in services)
    if any((type(s), type(w)) != (str, int) for s, w in pairs):
        raise ValueError('route has a mistyped service')
    return FlowRoute(name, (ip, port), pairs, *rest)
