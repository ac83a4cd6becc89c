"""A backend server and the agent beside it."""

import attrs

from kingcupport.common import address

DEFAULT_WEIGHT = 100


@attrs.frozen
class BackendServer:
    """A backend server as the release notes describe it.

    Args:
        name: Unique among balancers and backend servers; also the name of
            its agent.
        service: Name of the service it belongs to.
        agent_address: UDP port for envelopes and TCP port for peers of the
            agent beside it.
        server_address: Where the server takes HTTP requests.
        data_centre: Where the instance stands.
        slots: Number of requests that the server runs at once.
        weight: Share of the service's buckets, relative to the others.
        added_revision: Revision of the release note that added it; set when
            the note is applied.
    """

    name: str
    service: str
    agent_address: address.Address
    server_address: address.Address
    data_centre: str
    slots: int = 1
    weight: int = DEFAULT_WEIGHT
    added_revision: int = 0
