"""Judges the status replies of a fleet's processes."""

import collections
import enum

import attrs

from kingcupport.wire import control_messages


class Verdict(enum.StrEnum):
    """How a process stands compared with the newest revision."""

    IN_FORCE = 'in force'
    LAGS = 'lags'
    CONFLICT = 'conflict'
    OTHER_NAME = 'other name'
    NO_ANSWER = 'no answer'


@attrs.frozen
class ProcessStatus:
    """One process in the report.

    Args:
        name: Name in the fleet file, or the one that it answered with.
        address: ``ip:port`` that was asked.
        verdict: A Verdict value.
        revision: Revision in force, None without an answer.
        digest: Digest of the fleet in force, empty without an answer.
        state: What the process says of itself, empty without an answer.
        detail: Why it does not answer, or its conflicts, one line.
        figures: Its gauges by name.
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
    """The report on a fleet.

    Args:
        revision: The newest revision known, from the fleet file or a reply.
        processes: ProcessStatus of each process, problems first.
    """

    revision: int
    processes: tuple

    @property
    def answered(self):
        """Whether at least one process answered."""
        return any(p.revision is not None for p in self.processes)

    @property
    def converged(self):
        """Whether the newest revision is in force everywhere."""
        return all(p.verdict == Verdict.IN_FORCE for p in self.processes)

    def count(self, verdict):
        """Return the number of processes with a verdict."""
        return sum(p.verdict == verdict for p in self.processes)


def make_fleet_status(asked, replies, fleet=None):
    """Return the FleetStatus for a round of replies.

    Args:
        asked: ``(name, address)`` of each process; the name is empty when
            only an address is known.
        replies: A StatusReply or a PeerError for each of them.
        fleet: The published Fleet, if known.
    """
    answers = [
        r for r in replies if isinstance(r, control_messages.StatusReply)
    ]
    revisions = [answer.revision for answer in answers]
    if fleet is not None:
        revisions.append(fleet.revision)
    newest = max(revisions, default=0)
    digest = _find_digest(newest, answers, fleet)
    processes = [
        _judge(name, address, reply, newest, digest)
        for (name, address), reply in zip(asked, replies, strict=True)
    ]
    processes.sort(key=lambda p: (p.verdict == Verdict.IN_FORCE, p.name))
    return FleetStatus(newest, tuple(processes))


def _find_digest(revision, answers, fleet):
    # Without the published fleet, the digest that most processes have is
    # taken as the right one.
    if fleet is not None and fleet.revision == revision:
        return fleet.digest
    digests = collections.Counter(
        answer.digest for answer in answers if answer.revision == revision
    )
    return max(digests, key=digests.get, default='')


def _judge(name, address, reply, newest, digest):
    if not isinstance(reply, control_messages.StatusReply):
        return ProcessStatus(
            name or str(address),
            str(address),
            Verdict.NO_ANSWER,
            detail=reply.reason,
        )
    verdict, detail = _compare(name, reply, newest, digest)
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


def _compare(name, reply, newest, digest):
    if name and reply.sender != name:
        return Verdict.OTHER_NAME, f'{reply.sender} answered'
    if reply.conflicts:
        return Verdict.CONFLICT, '; '.join(map(str, reply.conflicts))
    if reply.revision < newest:
        return Verdict.LAGS, f'{newest - reply.revision} behind {newest}'
    if reply.digest != digest:
        return Verdict.CONFLICT, f'digest is not {digest[:8]}'
    return Verdict.IN_FORCE, ''
