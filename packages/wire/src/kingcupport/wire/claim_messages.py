"""Peer messages of at-most-once execution: claims, rebuild and results.

Times are sent as remaining milliseconds, which the receiver converts into a
deadline on its own clock on receipt. A claim in a list is the array ``[key,
fingerprint, attempt, holder, holder_incarnation, version, remaining_ms]``.
"""

import attrs

from kingcupport.wire import message_codec


@message_codec.peer_message(40)
@attrs.frozen
class Claim:
    """Requests the exclusive right to run the request with a given key.

    Args:
        sender: Name of the claiming agent.
        revision: Fleet revision in force at the sender.
        incarnation: Random number of the sender's process.
        key: The ``Idempotency-Key``.
        fingerprint: Digest of method, target and body.
        attempt: Unique id of this attempt; retransmissions repeat it.
        remaining_ms: Time until the request's deadline.
    """

    sender: str
    revision: int
    incarnation: int
    key: str
    fingerprint: bytes
    attempt: str
    remaining_ms: int


@message_codec.peer_message(41)
@attrs.frozen
class ClaimGranted:
    """Confirms that the sender of the claim now holds the key.

    Args:
        sender: Name of the key's agent or of the agent that stores a copy.
        revision: Fleet revision in force at the sender.
        attempt: The granted attempt.
    """

    sender: str
    revision: int
    attempt: str


@message_codec.peer_message(42)
@attrs.frozen
class ClaimHeld:
    """Reports that another attempt holds the key.

    Args:
        sender: Name of the answering agent.
        revision: Fleet revision in force at the sender.
        claim: The claim in force, in the array form of a list.
    """

    sender: str
    revision: int
    claim: list


@message_codec.peer_message(43)
@attrs.frozen
class ClaimRefused:
    """Reports that the answering agent cannot grant or store the claim.

    Args:
        sender: Name of the answering agent.
        revision: Fleet revision in force at the sender.
        first: Whether the answering agent knows that no attempt holds a
            claim for the key.
        code: ``full``, ``incomplete``, ``not_key_agent``, ``not_member``,
            ``paused`` or ``draining``.
        fences: Fence generation by host name, as known to the agent.
    """

    sender: str
    revision: int
    first: bool
    code: str
    fences: dict


@message_codec.peer_message(44)
@attrs.frozen
class ClaimRecord:
    """Asks an agent to store a copy of a claim that the sender holds.

    Args:
        sender: Name of the key's agent, which is also the holder.
        revision: Fleet revision in force at the sender.
        claim: The claim, in the array form of a list.
    """

    sender: str
    revision: int
    claim: list


@message_codec.peer_message(45)
@attrs.frozen
class ClaimRelease:
    """Reports that an attempt did not run and never will.

    Args:
        sender: Name of the sending agent.
        revision: Fleet revision in force at the sender.
        key: The ``Idempotency-Key``.
        attempt: The abandoned attempt.
    """

    sender: str
    revision: int
    key: str
    attempt: str


@message_codec.peer_message(46)
@attrs.frozen
class ClaimReleased:
    """Acknowledges a ClaimRelease.

    Args:
        sender: Name of the answering agent.
        revision: Fleet revision in force at the sender.
    """

    sender: str
    revision: int


@message_codec.peer_message(47)
@attrs.frozen
class ClaimListRequest:
    """Requests the claims that concern the sender in its view.

    An agent adopts the fences before it answers. From then on it makes and
    accepts grants only under the resulting view.

    Args:
        sender: Name of the requesting agent.
        revision: Fleet revision in force at the sender.
        incarnation: Random number of the sender's process.
        members: ``[name, added_revision]`` of each host of the service.
        fences: Fence generation by host name; odd means absent.
        after_key: Last key of the previous page; only later keys follow.
    """

    sender: str
    revision: int
    incarnation: int
    members: list
    fences: dict
    after_key: str


@message_codec.peer_message(48)
@attrs.frozen
class ClaimListReply:
    """Lists claims that concern the requester and gaps in the sender's index.

    Args:
        sender: Name of the answering agent.
        revision: Fleet revision in force at the sender.
        incarnation: Random number of the sender's process.
        members: Members known to the answering agent, as in the request.
        fences: Fence generations known to the answering agent.
        claims: Claims in key order.
        more: Whether another page follows.
        complete: Whether the sender's index is complete in its view.
        established: Whether that index has ever been complete.
        loss_ms: Time until all claims that the sender lost in a restart have
            expired.
        blind_ms: Time until all claims that the sender may have missed have
            expired.
        losses: Remaining loss time by name, for hosts that are gone.
        unconfirmed: Names of hosts whose answer the sender still awaits.
        departed: Names of hosts that handed over to every peer and left.
        known_incarnation: Incarnation of the requester that the sender knew
            before this request, or the present one if it knew none.
    """

    sender: str
    revision: int
    incarnation: int
    members: list
    fences: dict
    claims: list
    more: bool
    complete: bool
    established: bool
    loss_ms: int
    blind_ms: int
    losses: dict
    unconfirmed: list
    departed: list
    known_incarnation: int


@message_codec.peer_message(49)
@attrs.frozen
class ResultRequest:
    """Requests the answer of an attempt from its holder.

    Args:
        sender: Name of the requesting agent.
        revision: Fleet revision in force at the sender.
        key: The ``Idempotency-Key``.
        attempt: The attempt that holds the key.
    """

    sender: str
    revision: int
    key: str
    attempt: str


@message_codec.peer_message(50)
@attrs.frozen
class ResultReply:
    """Reports the state and the answer of an attempt.

    Args:
        sender: Name of the answering agent.
        revision: Fleet revision in force at the sender.
        incarnation: Random number of the sender's process.
        state: ``pending``, ``answered``, ``unknown`` or ``absent``.
        status: HTTP status of the answer, 0 without one.
        headers: ``[name, value]`` byte pairs of the answer.
        body: Body of the answer.
    """

    sender: str
    revision: int
    incarnation: int
    state: str
    status: int
    headers: list
    body: bytes


@message_codec.peer_message(51)
@attrs.frozen
class ClaimHandover:
    """Hands over the records of a draining agent.

    The agent has stopped granting and claiming before it sends them.

    Args:
        sender: Name of the draining agent.
        revision: Fleet revision in force at the sender.
        incarnation: Random number of its process.
        claims: Claims that the receiver has to store.
        results: ``[claim, status, headers, body]``, status 0 when the
            outcome is unknown; the receiver becomes the holder.
        farewell: Whether these are the last records. The receiver then
            fences the sender without asking it first.
        delivered: Whether every peer has acknowledged the last records.
        in_order: Whether the sender has lost no claims.
        members: ``[name, added_revision]`` of the hosts known to the sender.
        fences: Fence generations known to the sender, including its own.
    """

    sender: str
    revision: int
    incarnation: int
    claims: list
    results: list
    farewell: bool
    delivered: bool
    in_order: bool
    members: list
    fences: dict


@message_codec.peer_message(52)
@attrs.frozen
class ClaimHandoverReply:
    """Acknowledges a ClaimHandover.

    Args:
        sender: Name of the answering agent.
        revision: Fleet revision in force at the sender.
        accepted: Attempts that the answering agent now stores or holds.
    """

    sender: str
    revision: int
    accepted: list
