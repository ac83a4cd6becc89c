"""Peer messages of the control plane: revisions, status, audit, routing.

Every message carries the sender's name and the revision in force at the
sender, so that a process with an older revision can pull the difference.
"""

import attrs

from kingcupport.wire import message_codec


@message_codec.peer_message(1)
@attrs.frozen
class ErrorReply:
    """Reports that a request failed.

    Args:
        sender: Name of the answering process.
        revision: Fleet revision in force at the sender.
        code: Code of the KingcupportError.
        reason: Reason of that error, one line.
    """

    sender: str
    revision: int
    code: str
    reason: str


@message_codec.peer_message(2)
@attrs.frozen
class DifferenceRequest:
    """Requests the release notes after the sender's revision.

    Args:
        sender: Name of the requesting process.
        revision: Fleet revision in force at the sender.
        digest: Digest of the fleet in force at the sender.
    """

    sender: str
    revision: int
    digest: str


@message_codec.peer_message(3)
@attrs.frozen
class DifferenceReply:
    """Carries the notes that turn the requester's fleet into the sender's.

    Args:
        sender: Name of the answering process.
        revision: Fleet revision in force at the sender.
        notes: Plain release notes in order; empty when the requester is up
            to date or when ``fleet`` is given.
        fleet: Plain fleet when no chain of notes connects the two fleets,
            else an empty map.
    """

    sender: str
    revision: int
    notes: list
    fleet: dict


@message_codec.peer_message(4)
@attrs.frozen
class StatusRequest:
    """Requests the status of a process.

    Args:
        sender: Name of the requesting process.
        revision: Fleet revision known to the sender, 0 for a command
            line.
    """

    sender: str
    revision: int


@message_codec.peer_message(5)
@attrs.frozen
class StatusReply:
    """Reports the status of a process.

    Args:
        sender: Name of the answering process.
        revision: Fleet revision in force at the sender.
        digest: Digest of the fleet in force at the sender.
        state: ``starting``, ``ready`` or ``draining``.
        conflicts: One line for each conflicting release note seen since the
            last accepted revision.
        figures: Integer gauges by name, for example ``connections``.
    """

    sender: str
    revision: int
    digest: str
    state: str
    conflicts: list
    figures: dict


@message_codec.peer_message(6)
@attrs.frozen
class AuditRequest:
    """Requests the audit trail of a process.

    Args:
        sender: Name of the requesting process.
        revision: Fleet revision known to the sender, 0 for a command
            line.
        after_sequence: Requests only events with a greater sequence number.
    """

    sender: str
    revision: int
    after_sequence: int


@message_codec.peer_message(7)
@attrs.frozen
class AuditReply:
    """Carries events of the audit trail, oldest first.

    Args:
        sender: Name of the answering process.
        revision: Fleet revision in force at the sender.
        events: Maps with ``sequence``, ``utc_ms``, ``kind`` and the event's
            own fields.
    """

    sender: str
    revision: int
    events: list


@message_codec.peer_message(8)
@attrs.frozen
class ExplainRequest:
    """Asks a balancer how it would route a connection.

    Args:
        sender: Name of the requesting process.
        revision: Fleet revision known to the sender, 0 for a command
            line.
        service_address: ``ip:port`` of the service.
        connection_id: The connection.
    """

    sender: str
    revision: int
    service_address: str
    connection_id: int


@message_codec.peer_message(9)
@attrs.frozen
class ExplainReply:
    """Reports how a balancer would route a connection.

    Args:
        sender: Name of the answering process.
        revision: Fleet revision in force at the sender.
        service: Name of the service, empty when none has the address.
        bucket: Number of the bucket in the service's table.
        candidates: Names of the first candidate agents, in order.
        hint: Agent name from the location hint cache, or empty.
        target: Agent that the next packet would go to, or empty.
    """

    sender: str
    revision: int
    service: str
    bucket: int
    candidates: list
    hint: str
    target: str
