"""A balancer, which runs on an entry instance."""

import attrs

from kingcupport.common import address


@attrs.frozen
class Balancer:
    """A balancer as defined by the release notes.

    Args:
        name: Unique among balancers and backend servers.
        address: UDP port for packets and TCP port for peers.
        data_centre: Data centre of the instance.
    """

    name: str
    address: address.Address
    data_centre: str
