"""Peer messages that share work between the agents of one service.

A transfer is identified by its sender, the sender's incarnation and a
sequence number. An incarnation is the UTC time in milliseconds at which a
process started; it distinguishes a restarted process from its predecessor.
"""

import attrs

from kingcupport.wire import message_codec


@message_codec.peer_message(60)
@attrs.frozen
class WorkRequest:
    """Offers to run a request of a peer; answered by LoadReport.

    Args:
        sender: Name of the agent with a free slot.
        revision: Fleet revision in force at the sender.
        service: Name of its service.
        incarnation: The sender's incarnation, repeated in transfers to it.
        free_in_ms: Expected time until the slot is free, 0 if it is free.
        valid_ms: How long the offer is valid.
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
    """Transfers one request to a peer; answered by WorkReply.

    Args:
        sender: Name of the agent that owns the caller's connection.
        revision: Fleet revision in force at the sender.
        service: Name of its service.
        incarnation: The sender's incarnation.
        sequence: Number of the transfer, increasing within an incarnation.
        receiver_incarnation: Incarnation from the receiver's WorkRequest.
        remaining_ms: Time until the request's deadline.
        request_id: Id of the request.
        method: HTTP method.
        target: Request target.
        headers: List of ``[name, value]`` byte pairs.
        body: Complete body.
        idempotency_key: The ``Idempotency-Key``, or an empty string.
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
    """Requests the state of a transfer; answered by WorkReply.

    A receiver that does not know the transfer refuses it permanently, also
    when it arrives later.

    Args:
        sender: Name of the agent that sent the transfer.
        revision: Fleet revision in force at the sender.
        incarnation: The sender's incarnation.
        sequence: Number of the transfer.
        receiver_incarnation: Incarnation given in the transfer.
        cancel: Whether the sender no longer needs the answer.
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
    """Reports the state of a transfer.

    Args:
        sender: Name of the answering agent.
        revision: Fleet revision in force at the sender.
        state: ``running``; ``done``, with an answer; ``refused``, when the
            request did not and will not run here; ``lost``, when nothing is
            known about it.
        status: HTTP status code, 0 unless done.
        headers: List of ``[name, value]`` byte pairs.
        body: Complete body.
        outcome: Outcome of the answer, or an empty string.
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
    """Reports the load of an agent; answered by the receiver's LoadReport.

    Args:
        sender: Name of the agent.
        revision: Fleet revision in force at the sender.
        connections: Number of connections of the agent.
        queued: Number of requests queued at the agent.
        running: Number of requests running at the agent.
    """

    sender: str
    revision: int
    connections: int
    queued: int
    running: int


@message_codec.peer_message(65)
@attrs.frozen
class PermitRequest:
    """Requests or renews a permit for a long-running request.

    Args:
        sender: Name of the requesting agent.
        revision: Fleet revision in force at the sender.
        incarnation: The sender's incarnation.
        sequence: Number of the use, the same on renewal.
        permit: Number of the permit, from 0.
        wait_ms: Maximum time to wait for the permit before answering.
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
    """Returns a permit; answered by PermitReply.

    Args:
        sender: Name of the agent that holds the permit.
        revision: Fleet revision in force at the sender.
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
    """Answers PermitRequest and PermitRelease.

    Args:
        sender: Name of the answering agent.
        revision: Fleet revision in force at the sender.
        granted: Whether the requesting agent now holds the permit.
        lease_ms: How long it holds the permit unless it renews it.
    """

    sender: str
    revision: int
    granted: bool
    lease_ms: int


@message_codec.peer_message(68)
@attrs.frozen
class WorkWaiting:
    """Announces queued requests at the sender; answered by LoadReport.

    Args:
        sender: Name of the agent with queued requests.
        revision: Fleet revision in force at the sender.
        service: Name of its service.
    """

    sender: str
    revision: int
    service: str
