"""Decides whether the store's history shows every server with open flows.

After an outage of the store, the entries of live servers may be missing for a
while. The recent history names them all the same, if it reaches back to before
the outage. It counts only after a restart of the whole fleet: a server that
was cut off from the store for longer than the history reaches is not in it,
but has then lost its flows like all others.

The decision and its proof are described in docs/decisions/reset-proofs.md.
"""

import collections
import itertools

import attrs

from kingcupport.flows import store_revision

# Writes in a server's regular rhythm that show how far the history reaches. At
# most 4 of them are younger than an outage of the store that ended less than
# 2.5 s ago. The 5 others span 4 intervals before it; an entry that was still
# valid at its start was written at most 3 intervals before.
MIN_WRITES = 9
# Writes per server that are asked for: in addition to the above those since
# the restart, or the expiry of the entries from before it.
ASKED_WRITES = 12
# A single server may write out of its rhythm, and so may another writer. The
# history counts as long enough if every second address shows it.
MIN_WITNESS_SHARE = 0.5
# Share of the addresses whose servers must be seen to have restarted. Servers
# register within one interval of their start, some of them at once.
MIN_RESTARTED_SHARE = 0.25

TOO_SHORT = 'too short'
RESTART_NOT_SEEN = 'restart not seen'


@attrs.define
class HistoryProof:
    """Whether a history shows all servers that may hold flows.

    Args:
        reason: Why it does not; empty if it does.
        ips: Addresses of all servers in the history and the view.
        witnesses: Number of addresses that show that it reaches back far
            enough.
        restarted: Number of addresses whose servers have restarted in it.
        servers: Number of servers in it.
        changes: Number of its changes.
    """

    reason: str
    ips: frozenset = frozenset()
    witnesses: int = 0
    restarted: int = 0
    servers: int = 0
    changes: int = 0

    @property
    def is_proven(self):
        """Whether the addresses are those of all servers with flows."""
        return not self.reason

    @property
    def is_early(self):
        """Whether a later history may show what this one does not."""
        return self.reason == RESTART_NOT_SEEN

    @property
    def is_short(self):
        """Whether a longer history may show what this one does not."""
        return self.reason == TOO_SHORT


@attrs.define
class _Writes:
    """The valid writes of one server process in a history."""

    ip: str
    boot_utc_ms: int
    first: int
    last: int
    last_sequence: int
    count: int = 1
    has_gap: bool = False


def first_revision(revision, addresses):
    """Return the qualified revision after which the history is asked for.

    Args:
        revision: Qualified revision up to which the view is complete.
        addresses: Number of addresses with a server.
    """
    changes = ASKED_WRITES * addresses
    return store_revision.qualify(
        store_revision.era_of(revision),
        max(0, store_revision.number_of(revision) - changes),
    )


def examine(history, servers, services):
    """Return the HistoryProof of a history.

    Args:
        history: FleetHistory up to the revision of the view, or None if the
            source has none.
        servers: FlowServer objects that the view lists.
        services: Names of the services of the configuration in force. Entries
            of other services are those of another writer.
    """
    if history is None:
        return HistoryProof('no history')
    listed = [s for s in servers if s.service in services]
    writes = _collect_writes(history, services)
    proof = HistoryProof(
        '',
        frozenset(s.ip for s in listed) | {w.ip for w in writes.values()},
        servers=len(writes),
        changes=len(history.servers)
        + len(history.removed)
        + len(history.invalid),
    )
    proof.witnesses = len(
        {w.ip for w in writes.values() if w.count >= MIN_WRITES}
    )
    proof.restarted = _count_restarted(writes.values())
    proof.reason = _find_reason(history, listed, writes, proof)
    return proof


def _collect_writes(history, services):
    writes = {}
    for server in sorted(history.servers, key=_revision):
        if server.service not in services:
            continue
        key = (server.name, server.boot_utc_ms)
        known = writes.get(key)
        if known is None:
            writes[key] = _Writes(
                server.ip,
                server.boot_utc_ms,
                server.revision,
                server.revision,
                server.sequence,
            )
            continue
        known.has_gap |= (
            server.sequence != known.last_sequence + 1 or server.ip != known.ip
        )
        known.last = server.revision
        known.last_sequence = server.sequence
        known.count += 1
    return writes


def _find_reason(history, listed, writes, proof):
    if not listed:
        return 'no servers listed'
    if not all(_is_in_history(server, writes) for server in listed):
        # A listed server has written within the expiry of its entry.
        return 'listed server not in history'
    if any(w.has_gap for w in writes.values()):
        # Some writes were refused, or lost by a restore of the store.
        return 'writes missing'
    written_names = {server.name for server in history.servers}
    if any(
        name not in written_names
        for name, _ in itertools.chain(history.removed, history.invalid)
    ):
        return 'address of a server not known'
    if _has_returned(history, writes):
        return 'expired entry returned'
    if proof.witnesses < MIN_WITNESS_SHARE * len(proof.ips):
        return TOO_SHORT
    if proof.restarted < MIN_RESTARTED_SHARE * len(proof.ips):
        return RESTART_NOT_SEEN
    return ''


def _is_in_history(server, writes):
    written = writes.get((server.name, server.boot_utc_ms))
    return written is not None and written.last_sequence >= server.sequence


def _has_returned(history, writes):
    """Whether a server wrote again after the store had removed its entry."""
    last_by_name = collections.defaultdict(int)
    for (name, _), written in writes.items():
        last_by_name[name] = max(last_by_name[name], written.last)
    return any(
        revision < last_by_name[name] for name, revision in history.removed
    )


def _count_restarted(writes):
    """Return the number of addresses whose servers have all restarted.

    There must be a revision that all servers from before the restart wrote
    before, and all others after. Servers that have gone on writing are on both
    sides of any revision, so that there is none.
    """
    ordered = sorted(writes, key=lambda w: w.first)
    last = 0
    restarted = 0
    for number, written in enumerate(ordered):
        if number and written.first > last:
            boots = {}
            for earlier in ordered[:number]:
                boots[earlier.ip] = max(
                    boots.get(earlier.ip, 0), earlier.boot_utc_ms
                )
            ips = {
                later.ip
                for later in ordered[number:]
                if later.boot_utc_ms > boots.get(later.ip, later.boot_utc_ms)
            }
            restarted = max(restarted, len(ips))
        last = max(last, written.last)
    return restarted


def _revision(server):
    return server.revision
