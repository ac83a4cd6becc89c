"""Peer messages of at-most-once execution: claims, rebuild and results.

Times are remaining milliseconds; the receiver turns them into a deadline on
its own clock at once. A claim in a list is the array ``[key, fingerprint,
attempt, holder, holder_incarnation, version, remaining_ms]``.
"""

import attrs

from kingcupport.wire import message_codec


@message_codec.peer_message(40)
@attrs.frozen
class Claim:
    """Asks a key's agent for the right to run the request under a key.

    Args:
        sender: Name of the claiming agent.
        revision: Revision in force there.
        incarnation: Random number of the sender's process.
        key: The ``Idempotency-Key``.
        fingerprint: Digest of method, target and body.
        attempt: Unique text of this attempt; resent claims repeat it.
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
    """The sender of the claim is the holder of the key.

    Args:
        sender: Name of the key's agent or of the agent that keeps a copy.
        revision: Revision in force there.
        attempt: The granted attempt.
    """

    sender: str
    revision: int
    attempt: str


@message_codec.peer_message(42)
@attrs.frozen
class ClaimHeld:
    """Another attempt holds the key.

    Args:
        sender: Name of the answering agent.
        revision: Revision in force there.
        claim: The claim in force, as in a list.
    """

    sender: str
    revision: int
    claim: list


@message_codec.peer_message(43)
@attrs.frozen
class ClaimRefused:
    """The answering agent cannot grant or keep the claim.

    Args:
        sender: Name of the answering agent.
        revision: Revision in force there.
        first: Whether the answering agent knows that no attempt under the
            key holds a claim.
        code: ``full``, ``incomplete``, ``not_key_agent``, ``not_member``,
            ``paused`` or ``draining``.
        fences: Fence generation by host name, as the agent knows them.
    """

    sender: str
    revision: int
    first: bool
    code: str
    fences: dict


@message_codec.peer_message(44)
@attrs.frozen
class ClaimRecord:
    """Asks an agent to keep a copy of a claim that the sender holds itself.

    Args:
        sender: Name of the key's agent, which is also the holder.
        revision: Revision in force there.
        claim: The claim, as in a list.
    """

    sender: str
    revision: int
    claim: list


@message_codec.peer_message(45)
@attrs.frozen
class ClaimRelease:
    """Says that an attempt did not run and never will.

    Args:
        sender: Name of the sending agent.
        revision: Revision in force there.
        key: The ``Idempotency-Key``.
        attempt: The attempt that is over.
    """

    sender: str
    revision: int
    key: str
    attempt: str


@message_codec.peer_message(46)
@attrs.frozen
class ClaimReleased:
    """Answer to ClaimRelease.

    Args:
        sender: Name of the answering agent.
        revision: Revision in force there.
    """

    sender: str
    revision: int


@message_codec.peer_message(47)
@attrs.frozen
class ClaimListRequest:
    """Asks for the claims that concern the sender in its view.

    An agent that answers has taken over the fences and from then on accepts
    and makes grants only under the resulting view.

    Args:
        sender: Name of the asking agent.
        revision: Revision in force there.
        incarnation: Random number of the sender's process.
        members: ``[name, added_revision]`` of each host of the service.
        fences: Fence generation by host name; odd means absent.
        after_key: Only keys after this one, for the next page.
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
    """Claims that concern the asker, and what the sender may not know.

    Args:
        sender: Name of the answering agent.
        revision: Revision in force there.
        incarnation: Random number of the sender's process.
        members: The answering agent's members, as in the request.
        fences: Its fence generations.
        claims: Claims in key order.
        more: Whether another page follows.
        complete: Whether its own index is complete in its view.
        established: Whether its index was complete in some view.
        loss_ms: Time until all claims that it lost by a restart expire.
        blind_ms: Time until all claims that it may have missed expire.
        losses: The same by name for hosts that are gone.
        unconfirmed: Names of hosts whose answer it still waits for.
        departed: Names of hosts that handed over to every peer and left.
        known_incarnation: The asker's incarnation that it knew before, or
            the present one.
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
    """Asks a holder for the answer of an attempt.

    Args:
        sender: Name of the asking agent.
        revision: Revision in force there.
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
    """State and answer of an attempt.

    Args:
        sender: Name of the answering agent.
        revision: Revision in force there.
        incarnation: Random number of the sender's process.
        state: ``pending``, ``answered``, ``unknown`` or ``absent``.
        status: HTTP status of the answer, else 0.
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
    """Records of a draining agent that grants and claims nothing any more.

    Args:
        sender: Name of the draining agent.
        revision: Revision in force there.
        incarnation: Random number of its process.
        claims: Claims that the receiver shall know.
        results: ``[claim, status, headers, body]``, status 0 when the
            outcome is unknown; the receiver becomes the holder.
        farewell: Whether these are the last records; the receiver then
            fences the sender without having to ask it.
        delivered: Whether every peer has taken the farewell.
        in_order: Whether the sender lost no claims itself.
        members: ``[name, added_revision]`` of the hosts at the sender.
        fences: Fence generations at the sender, including its own.
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
    """Answer to ClaimHandover.

    Args:
        sender: Name of the answering agent.
        revision: Revision in force there.
        accepted: Attempts that the answering agent now knows or holds.
    """

    sender: str
    revision: int
    accepted: list
