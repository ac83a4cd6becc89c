"""Peer messages of the control plane: revisions, status, audit, routing.

Every message carries the sender's name and the revision in force there, so
that whoever is behind can pull the difference.
"""

import attrs

from kingcupport.wire import message_codec


@message_codec.peer_message(1)
@attrs.frozen
class ErrorReply:
    """Answer to a request that failed.

    Args:
        sender: Name of the answering process.
        revision: Revision in force there.
        code: Code of the KingcupportError.
        reason: Its reason, one line.
    """

    sender: str
    revision: int
    code: str
    reason: str


@message_codec.peer_message(2)
@attrs.frozen
class DifferenceRequest:
    """Asks for the release notes after the sender's revision.

    Args:
        sender: Name of the asking process.
        revision: Revision in force there.
        digest: Digest of the fleet in force there.
    """

    sender: str
    revision: int
    digest: str


@message_codec.peer_message(3)
@attrs.frozen
class DifferenceReply:
    """The notes that lead from the asker's fleet to the sender's.

    Args:
        sender: Name of the answering process.
        revision: Revision in force there.
        notes: Plain release notes in order; empty when the asker is not
            behind or when ``fleet`` is given.
        fleet: Plain fleet when no chain of notes fits, else an empty map.
    """

    sender: str
    revision: int
    notes: list
    fleet: dict


@message_codec.peer_message(4)
@attrs.frozen
class StatusRequest:
    """Asks a process for its status.

    Args:
        sender: Name of the asking process.
        revision: Revision known there, 0 for a command line.
    """

    sender: str
    revision: int


@message_codec.peer_message(5)
@attrs.frozen
class StatusReply:
    """Status of a process.

    Args:
        sender: Name of the answering process.
        revision: Revision in force there.
        digest: Digest of the fleet in force there.
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
    """Asks a process for its audit trail.

    Args:
        sender: Name of the asking process.
        revision: Revision known there, 0 for a command line.
        after_sequence: Only events with a greater sequence number.
    """

    sender: str
    revision: int
    after_sequence: int


@message_codec.peer_message(7)
@attrs.frozen
class AuditReply:
    """Events of the audit trail, oldest first.

    Args:
        sender: Name of the answering process.
        revision: Revision in force there.
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
        sender: Name of the asking process.
        revision: Revision known there, 0 for a command line.
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
    """How a balancer would route a connection.

    Args:
        sender: Name of the answering process.
        revision: Revision in force there.
        service: Name of the service, empty when the address has none.
        bucket: Number of the bucket in the service's table.
        candidates: Names of the first candidates in order.
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
