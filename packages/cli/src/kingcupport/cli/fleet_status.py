"""Evaluates the status replies of a fleet's processes."""

import collections
import enum

import attrs

from kingcupport.wire import control_messages


class Verdict(enum.StrEnum):
    """State of a process relative to the newest revision."""

    IN_FORCE = 'in force'
    LAGS = 'lags'
    CONFLICT = 'conflict'
    OTHER_NAME = 'other name'
    NO_ANSWER = 'no answer'


@attrs.frozen
class ProcessStatus:
    """Status of one process.

    Args:
        name: Name in the fleet file; without one, the name in its reply, or
            the address if there was no reply.
        address: ``ip:port`` to which the request was sent.
        verdict: A Verdict value.
        revision: Revision in force, None without a reply.
        digest: Digest of the fleet in force, empty without a reply.
        state: State that the process reports, empty without a reply.
        detail: Reason for the verdict, one line; empty when in force.
        figures: Values of its gauges by name.
    """

    name: str
    address: str
    verdict: str
    revision: int | None = None
    digest: str = ''
    state: str = ''
    detail: str = ''
    figures: dict = attrs.field(factory=dict)


@attrs.frozen
class FleetStatus:
    """Status of a fleet.

    Args:
        revision: Newest revision in the fleet file and the replies.
        processes: ProcessStatus of each process, problems first.
    """

    revision: int
    processes: tuple

    @property
    def answered(self):
        """Whether at least one process replied."""
        return any(p.revision is not None for p in self.processes)

    @property
    def converged(self):
        """Whether all processes have the newest revision in force."""
        return all(p.verdict == Verdict.IN_FORCE for p in self.processes)

    def count(self, verdict):
        """Return the number of processes with a verdict."""
        return sum(p.verdict == verdict for p in self.processes)


def make_fleet_status(targets, replies, fleet=None):
    """Return the FleetStatus that follows from status replies.

    Args:
        targets: ``(name, address)`` of each process; the name is empty when
            only its address is known.
        replies: A StatusReply or a PeerError for each target, in order.
        fleet: The published Fleet, if known.
    """
    status_replies = [
        r for r in replies if isinstance(r, control_messages.StatusReply)
    ]
    revisions = [status_reply.revision for status_reply in status_replies]
    if fleet is not None:
        revisions.append(fleet.revision)
    newest_revision = max(revisions, default=0)
    digest = _find_digest(newest_revision, status_replies, fleet)
    processes = [
        _evaluate_reply(name, address, reply, newest_revision, digest)
        for (name, address), reply in zip(targets, replies, strict=True)
    ]
    processes.sort(key=lambda p: (p.verdict == Verdict.IN_FORCE, p.name))
    return FleetStatus(newest_revision, tuple(processes))


def _find_digest(revision, status_replies, fleet):
    # Without the published fleet, the most common digest of the revision
    # counts as the right one.
    if fleet is not None and fleet.revision == revision:
        return fleet.digest
    digests = collections.Counter(
        status_reply.digest
        for status_reply in status_replies
        if status_reply.revision == revision
    )
    return max(digests, key=digests.get, default='')


def _evaluate_reply(name, address, reply, newest_revision, digest):
    if not isinstance(reply, control_messages.StatusReply):
        return ProcessStatus(
            name or str(address),
            str(address),
            Verdict.NO_ANSWER,
            detail=reply.reason,
        )
    verdict, detail = _determine_verdict(name, reply, newest_revision, digest)
    return ProcessStatus(
        name or reply.sender,
        str(address),
        verdict,
        reply.revision,
        reply.digest,
        reply.state,
        detail,
        reply.figures,
    )


def _determine_verdict(name, reply, newest_revision, digest):
    if name and reply.sender != name:
        return Verdict.OTHER_NAME, f'{reply.sender} answered'
    if reply.conflicts:
        return Verdict.CONFLICT, '; '.join(map(str, reply.conflicts))
    if reply.revision < newest_revision:
        return (
            Verdict.LAGS,
            f'{newest_revision - reply.revision} behind {newest_revision}',
        )
    if reply.digest != digest:
        return Verdict.CONFLICT, f'digest is not {digest[:8]}'
    return Verdict.IN_FORCE, ''
