"""Peer messages between balancers that forward flows (codes 80 to 89).

Codes 80 and 81 belonged to messages with revisions that had no era.
"""

import attrs

from kingcupport.wire import message_codec


@message_codec.peer_message(82)
@attrs.define
class ViewRequest:
    """Requests the changes that are missing from the sender's view.

    Args:
        sender: Name of the sender.
        revision: Version of the sender's configuration.
        content_revision: Qualified revision of the last change of a server
            that the sender knows.
    """

    sender: str
    revision: int
    content_revision: int


@message_codec.peer_message(83)
@attrs.define
class ViewReply:
    """Answers a ViewRequest.

    Args:
        sender: Name of the sender.
        revision: Version of the sender's configuration.
        difference: Result of ``FleetView.difference_since`` in
            ``flows.fleet_view``.
    """

    sender: str
    revision: int
    difference: list
