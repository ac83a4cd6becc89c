"""Settings of a balancer of forwarded flows."""

import attrs

from kingcupport.common import address


@attrs.define
class FlowBalancerSettings:
    """Settings of one balancer.

    Args:
        name: Name of the instance.
        data_centre: Name of the data centre of the instance.
        packet_address: UDP address that receives the clients' packets.
        peer_address: UDP and TCP address for agents and balancers.
        probe_address: HTTP address of the readiness probe and the metrics.
        ready_path: Path of the readiness probe.
        agent_port: UDP port of every agent.
        seed_ips: Addresses of balancers that are greeted from the start.
        max_flow_ms: Age at which a flow may be dropped.
        stop_after_ms: How long a stopping balancer still forwards packets; the
            routers notice within this time that it is not ready.
        server_expiry_ms: Time after which the store drops the entry of a
            silent server.
        features: Names of the optional features that are switched on.
        evacuation_ms: Time after which no opening packet may reach an
            evacuated data centre; 0 if the platform sets no bound.
    """

    name: str
    data_centre: str
    packet_address: address.Address
    peer_address: address.Address
    probe_address: address.Address
    ready_path: str
    agent_port: int
    seed_ips: tuple = ()
    max_flow_ms: int = 60_000
    stop_after_ms: int = 2_500
    server_expiry_ms: int = 3_000
    features: frozenset = frozenset()
    evacuation_ms: int = 0
