"""Settings of a balancer that forwards flows."""

import attrs

from kingcupport.common import address


@attrs.define
class FlowBalancerSettings:
    """What a balancer knows when it starts.

    Args:
        name: Name of the instance.
        data_centre: Data centre of the instance.
        packet_address: UDP address that takes the clients' packets.
        peer_address: UDP and TCP address for agents and balancers.
        probe_address: HTTP address of readiness and metrics.
        ready_path: Path of the readiness probe.
        agent_port: UDP port of every agent.
        seed_ips: Addresses of balancers to begin with.
        max_flow_ms: A flow older than this may be dropped.
        stop_after_ms: How long a stopping balancer forwards packets; by then
            the routers have noticed that it is not ready.
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
