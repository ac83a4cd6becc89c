"""Settings of an agent that forwards flows."""

import attrs

from kingcupport.common import address
from kingcupport.flows import cold_limit


@attrs.define
class FlowAgentSettings:
    """Settings of one agent that forwards flows.

    Args:
        name: Name of the instance.
        service: Name of the service of its backend server.
        agent_address: UDP address for datagrams from balancers.
        outbound_address: UDP address for packets from the server.
        server_address: UDP address of the server.
        probe_address: HTTP address of readiness and metrics.
        ready_path: Path of the readiness probe.
        is_first_start: Whether the server was started together with the
            agent, so that it holds no older flows.
        max_flow_ms: Age after which a flow may be dropped.
        stop_after_ms: Maximum time for which a stopping agent still forwards
            packets.
        features: Names of the optional features that are switched on.
        cold_excess: Greatest multiple of the rate of a cold server that it may
            get in any second.
        cold_slack: Number of opening packets on top of that.
    """

    name: str
    service: str
    agent_address: address.Address
    outbound_address: address.Address
    server_address: address.Address
    probe_address: address.Address
    ready_path: str
    is_first_start: bool = False
    max_flow_ms: int = 60_000
    stop_after_ms: int = 4_500
    features: frozenset = frozenset()
    cold_excess: float = cold_limit.DEFAULT_EXCESS
    cold_slack: float = cold_limit.DEFAULT_SLACK
