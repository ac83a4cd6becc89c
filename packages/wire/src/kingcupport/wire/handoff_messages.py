"""Peer messages that hand over a connection to another agent."""

import attrs

from kingcupport.wire import message_codec


@message_codec.peer_message(20)
@attrs.frozen
class Handoff:
    """Offers a frozen connection; idempotent for the same handoff id.

    Args:
        sender: Name of the agent that owns the connection.
        revision: Fleet revision in force at the sender.
        handoff_id: Unique id of the handoff.
        identity: Fields of the ConnectionIdentity, in order.
        input_offset: Position of the next byte expected from the caller.
        input_ended: Whether the caller has ended its stream.
        closing: Whether no further request is accepted.
        unparsed: Bytes of an incomplete request.
        output_offset: Position of the first unacknowledged byte.
        output: Bytes of answers from ``output_offset`` on.
        output_closed: Whether the output ends after ``output``.
        pending: One list for each unanswered request in order:
            ``[request_id, method, target, headers, body, idempotency_key,
            remaining_ms, http_version, keep_alive]``.
        last_output: Bytes to send after the last pending answer, before the
            output ends.
        confirmed: Whether the caller has sent a packet with the stream id.
    """

    sender: str
    revision: int
    handoff_id: str
    identity: list
    input_offset: int
    input_ended: bool
    closing: bool
    unparsed: bytes
    output_offset: int
    output: bytes
    output_closed: bool
    pending: list
    last_output: bytes
    confirmed: bool


@message_codec.peer_message(21)
@attrs.frozen
class HandoffAbort:
    """Cancels a handoff that has not been adopted; asks whether it has.

    Args:
        sender: Name of the agent that owns the connection.
        revision: Fleet revision in force at the sender.
        handoff_id: The handoff.
    """

    sender: str
    revision: int
    handoff_id: str


@message_codec.peer_message(22)
@attrs.frozen
class HandoffAdopted:
    """Confirms that the answering agent now owns the connection.

    Args:
        sender: Name of the answering agent.
        revision: Fleet revision in force at the sender.
        handoff_id: The handoff.
    """

    sender: str
    revision: int
    handoff_id: str


@message_codec.peer_message(23)
@attrs.frozen
class HandoffAborted:
    """Confirms that the handoff was not adopted and never will be.

    Args:
        sender: Name of the answering agent.
        revision: Fleet revision in force at the sender.
        handoff_id: The handoff.
        reason: Why, one line.
    """

    sender: str
    revision: int
    handoff_id: str
    reason: str


@message_codec.peer_message(24)
@attrs.frozen
class AnswerFetch:
    """Requests the answer of a request that runs at the former owner.

    Args:
        sender: Name of the connection's new owner.
        revision: Fleet revision in force at the sender.
        request_id: The request.
        remaining_ms: Time until the request's deadline.
    """

    sender: str
    revision: int
    request_id: str
    remaining_ms: int


@message_codec.peer_message(25)
@attrs.frozen
class AnswerFetched:
    """Carries the answer of a request that ran at the former owner.

    Args:
        sender: Name of the former owner.
        revision: Fleet revision in force at the sender.
        request_id: The request.
        known: Whether the former owner knows the request.
        ready: Whether the answer is included; False while the request runs.
        status: HTTP status, 0 without an answer.
        headers: List of ``[name, value]`` byte pairs.
        body: The complete body.
        outcome: ``ran``, ``not-run`` or ``unknown``.
    """

    sender: str
    revision: int
    request_id: str
    known: bool
    ready: bool
    status: int
    headers: list
    body: bytes
    outcome: str
