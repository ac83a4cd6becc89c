"""A balancer on an entry instance."""

import attrs

from kingcupport.common import address


@attrs.frozen
class Balancer:
    """A balancer as the release notes describe it.

    Args:
        name: Unique among balancers and backend servers.
        address: UDP port for packets and TCP port for peers.
        data_centre: Where the instance stands.
    """

    name: str
    address: address.Address
    data_centre: str
