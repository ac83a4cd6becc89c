"""A backend server and the agent on its instance."""

import attrs

from kingcupport.common import address

DEFAULT_WEIGHT = 100


@attrs.frozen
class BackendServer:
    """A backend server as defined by the release notes.

    Args:
        name: Unique among balancers and backend servers; also the name of
            its agent.
        service: Name of the service it belongs to.
        agent_address: Address of its agent: UDP port for envelopes and TCP
            port for peers.
        server_address: Address of the server for HTTP requests.
        data_centre: Data centre of the instance.
        slots: Maximum number of requests that the server runs concurrently.
        weight: Share of the service's buckets, relative to the others.
        added_revision: Revision of the release note that added the server;
            set when the note is applied.
    """

    name: str
    service: str
    agent_address: address.Address
    server_address: address.Address
    data_centre: str
    slots: int = 1
    weight: int = DEFAULT_WEIGHT
    added_revision: int = 0
