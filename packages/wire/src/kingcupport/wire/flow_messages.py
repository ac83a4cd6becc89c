"""Peer messages between balancers that forward flows (codes 80 to 89)."""

import attrs

from kingcupport.wire import message_codec


@message_codec.peer_message(80)
@attrs.define
class ViewRequest:
    """Asks a balancer for what the sender's view lacks.

    Args:
        sender: Name of the sender.
        revision: Version of the configuration that the sender has.
        content_revision: Revision of the last change of a server that the
            sender knows.
    """

    sender: str
    revision: int
    content_revision: int


@message_codec.peer_message(81)
@attrs.define
class ViewReply:
    """Answers a ViewRequest.

    Args:
        sender: Name of the sender.
        revision: Version of the configuration that the sender has.
        difference: What ``flows.fleet_view.FleetView`` computed.
    """

    sender: str
    revision: int
    difference: list
