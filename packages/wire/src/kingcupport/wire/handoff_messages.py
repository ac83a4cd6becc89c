"""Peer messages that hand a connection to another agent."""

import attrs

from kingcupport.wire import message_codec


@message_codec.peer_message(20)
@attrs.frozen
class Handoff:
    """Offers a frozen connection; idempotent under its id.

    Args:
        sender: Name of the agent that owns the connection.
        revision: Revision in force there.
        handoff_id: Unique text.
        identity: Fields of the ConnectionIdentity in order.
        input_offset: Position of the next byte expected from the caller.
        input_ended: Whether the caller has ended its stream.
        closing: Whether no further request is taken.
        unparsed: Bytes of an incomplete request.
        output_offset: Position of the first unacknowledged byte.
        output: Bytes of answers from there on.
        output_closed: Whether the output ends after ``output``.
        pending: One list for each unanswered request in order:
            ``[request_id, method, target, headers, body, idempotency_key,
            remaining_ms, http_version, keep_alive]``.
        last_output: Bytes to send after the last pending answer, before the
            output ends.
        confirmed: Whether the caller has used the stream id.
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
    """Asks whether a handoff was adopted, and forbids it if it was not.

    Args:
        sender: Name of the agent that owns the connection.
        revision: Revision in force there.
        handoff_id: The handoff.
    """

    sender: str
    revision: int
    handoff_id: str


@message_codec.peer_message(22)
@attrs.frozen
class HandoffAdopted:
    """The connection is owned by the answering agent.

    Args:
        sender: Name of the answering agent.
        revision: Revision in force there.
        handoff_id: The handoff.
    """

    sender: str
    revision: int
    handoff_id: str


@message_codec.peer_message(23)
@attrs.frozen
class HandoffAborted:
    """The handoff was not adopted and never will be.

    Args:
        sender: Name of the answering agent.
        revision: Revision in force there.
        handoff_id: The handoff.
        reason: One line.
    """

    sender: str
    revision: int
    handoff_id: str
    reason: str


@message_codec.peer_message(24)
@attrs.frozen
class AnswerFetch:
    """Asks for the answer of a request that runs at the former owner.

    Args:
        sender: Name of the connection's new owner.
        revision: Revision in force there.
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
    """The answer of a request that ran at the former owner.

    Args:
        sender: Name of the former owner.
        revision: Revision in force there.
        request_id: The request.
        known: Whether the former owner knows the request.
        ready: Whether the answer follows; False if it still runs.
        status: HTTP status, 0 without an answer.
        headers: List of ``[name, value]`` byte pairs.
        body: The whole body.
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
