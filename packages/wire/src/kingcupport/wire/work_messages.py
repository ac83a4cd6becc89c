"""Peer messages between the agents of one service about work.

A transfer is identified by its sender, the sender's incarnation and a
sequence number. An incarnation is the UTC time in milliseconds at which a
process started, so that a restarted process is not taken for its
predecessor.
"""

import attrs

from kingcupport.wire import message_codec


@message_codec.peer_message(60)
@attrs.frozen
class WorkRequest:
    """Tells a peer that the sender can run a request; answered by LoadReport.

    Args:
        sender: Name of the agent with a slot.
        revision: Revision in force there.
        service: Name of its service.
        incarnation: Its incarnation, repeated in transfers to it.
        free_in_ms: Expected time until the slot is free, 0 for now.
        valid_ms: How long the peer may rely on this.
    """

    sender: str
    revision: int
    service: str
    incarnation: int
    free_in_ms: int
    valid_ms: int


@message_codec.peer_message(61)
@attrs.frozen
class WorkTransfer:
    """Hands one request over; answered by WorkReply.

    Args:
        sender: Name of the agent that owns the caller's connection.
        revision: Revision in force there.
        service: Name of its service.
        incarnation: The sender's incarnation.
        sequence: Number of the transfer, rising within an incarnation.
        receiver_incarnation: Incarnation from the receiver's WorkRequest.
        remaining_ms: Time left to the request's deadline.
        request_id: Request's id.
        method: Request's method.
        target: Request's target.
        headers: List of ``[name, value]`` byte pairs.
        body: Whole body.
        idempotency_key: Request's key or an empty text.
    """

    sender: str
    revision: int
    service: str
    incarnation: int
    sequence: int
    receiver_incarnation: int
    remaining_ms: int
    request_id: str
    method: str
    target: str
    headers: list
    body: bytes
    idempotency_key: str


@message_codec.peer_message(62)
@attrs.frozen
class WorkPoll:
    """Asks for the state of a transfer; answered by WorkReply.

    A receiver that does not know the transfer refuses it for good.

    Args:
        sender: Name of the agent that sent the transfer.
        revision: Revision in force there.
        incarnation: The sender's incarnation.
        sequence: Number of the transfer.
        receiver_incarnation: Incarnation given in the transfer.
        cancel: Whether the answer is no longer wanted.
    """

    sender: str
    revision: int
    incarnation: int
    sequence: int
    receiver_incarnation: int
    cancel: bool


@message_codec.peer_message(63)
@attrs.frozen
class WorkReply:
    """State of a transfer.

    Args:
        sender: Name of the answering agent.
        revision: Revision in force there.
        state: ``running``; ``done`` with an answer; ``refused``, which says
            that the request did not and will not run here; ``lost``, which
            says that nothing is known about it.
        status: HTTP status code, 0 unless done.
        headers: List of ``[name, value]`` byte pairs.
        body: Whole body.
        outcome: Outcome of the answer, or an empty text.
    """

    sender: str
    revision: int
    state: str
    status: int
    headers: list
    body: bytes
    outcome: str


@message_codec.peer_message(64)
@attrs.frozen
class LoadReport:
    """Load of an agent; answered by the receiver's own.

    Args:
        sender: Name of the agent.
        revision: Revision in force there.
        connections: Number of its connections.
        queued: Number of requests that wait there.
        running: Number of requests that run there.
    """

    sender: str
    revision: int
    connections: int
    queued: int
    running: int


@message_codec.peer_message(65)
@attrs.frozen
class PermitRequest:
    """Asks for, or renews, a permit for long work.

    Args:
        sender: Name of the asking agent.
        revision: Revision in force there.
        incarnation: The sender's incarnation.
        sequence: Number of the use, the same on renewal.
        permit: Number of the permit, from 0.
        wait_ms: How long the answer may wait for the permit.
    """

    sender: str
    revision: int
    incarnation: int
    sequence: int
    permit: int
    wait_ms: int


@message_codec.peer_message(66)
@attrs.frozen
class PermitRelease:
    """Gives a permit back; answered by PermitReply.

    Args:
        sender: Name of the agent that holds the permit.
        revision: Revision in force there.
        incarnation: The sender's incarnation.
        sequence: Number of the use.
        permit: Number of the permit.
    """

    sender: str
    revision: int
    incarnation: int
    sequence: int
    permit: int


@message_codec.peer_message(67)
@attrs.frozen
class PermitReply:
    """Answer to PermitRequest and PermitRelease.

    Args:
        sender: Name of the answering agent.
        revision: Revision in force there.
        granted: Whether the asking agent holds the permit now.
        lease_ms: How long it holds the permit without renewal.
    """

    sender: str
    revision: int
    granted: bool
    lease_ms: int


@message_codec.peer_message(68)
@attrs.frozen
class WorkWaiting:
    """Tells a peer that requests wait at the sender; answered by LoadReport.

    Args:
        sender: Name of the agent with queued requests.
        revision: Revision in force there.
        service: Name of its service.
    """

    sender: str
    revision: int
    service: str
