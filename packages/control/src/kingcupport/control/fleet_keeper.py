"""Holds the fleet in force and decides what replaces it."""

import collections
import logging

import attrs

from kingcupport.common import errors
from kingcupport.control import offer_result
from kingcupport.fleet import documents
from kingcupport.fleet import fleet as fleet_module
from kingcupport.fleet import release_note

LOG = logging.getLogger(__name__)

# As many notes as one answer of the configuration service holds.
MAX_DIFFERENCES = 64
# Bounds on what malformed or contradictory offers can make a process keep.
MAX_CONFLICTS = 16
MAX_REFUSALS = 64
# Processes that left the fleet are still asked for claims and connections.
MAX_WITHDRAWN_ADDRESSES = 1024
# A note that replaces a data centre must not push everything else out of
# the audit trail.
MAX_AUDITED_WITHDRAWALS = 64

_CONFLICT = offer_result.OfferResult.CONFLICT
_KNOWN = offer_result.OfferResult.KNOWN
_REFUSED = offer_result.OfferResult.REFUSED


@attrs.frozen
class Difference:
    """What leads from an asker's fleet to the fleet in force.

    Args:
        notes: ReleaseNotes in order; empty when the asker is not behind.
        fleet: The whole Fleet when no chain of notes fits, else None.
    """

    notes: tuple = ()
    fleet: fleet_module.Fleet | None = None


class FleetKeeper:
    """Holds the fleet in force; its revision never goes down.

    Args:
        audit: AuditTrail for accepted, refused and conflicting offers.
    """

    def __init__(self, audit):
        self._audit = audit
        self._fleet = fleet_module.Fleet()
        self._peer_addresses = ()
        self._notes = collections.deque(maxlen=MAX_DIFFERENCES)
        self._conflicts = collections.OrderedDict()
        self._refusals = collections.OrderedDict()
        self._withdrawn_addresses = collections.OrderedDict()
        self._callbacks = []
        self._changes = collections.deque()
        self._is_notifying = False

    @property
    def fleet(self):
        """The Fleet in force."""
        return self._fleet

    @property
    def peer_addresses(self):
        """Address of each balancer and agent of the fleet, in a tuple."""
        return self._peer_addresses

    @property
    def conflicts(self):
        """One line for each rival of the revision in force."""
        return list(self._conflicts.values())

    def on_accept(self, callback):
        """Call ``callback(previous_fleet, fleet)`` after each acceptance.

        Calls come in order of the revisions, one at a time.
        """
        self._callbacks.append(callback)

    def process_address(self, name):
        """Return the peer address of a process, or None.

        Args:
            name: Balancer or backend server, of the fleet in force or
                withdrawn lately, as long as nobody else took its address.
        """
        fleet = self._fleet
        if name in fleet.balancers:
            return fleet.balancers[name].address
        if name in fleet.backend_servers:
            return fleet.backend_servers[name].agent_address
        return self._withdrawn_addresses.get(name)

    def offer_note(self, note, origin):
        """Accept a release note if it continues the fleet in force.

        Args:
            note: The ReleaseNote.
            origin: Where it came from, for the audit trail.

        Returns:
            An OfferResult.
        """
        fleet = self._fleet
        if note.revision < fleet.revision:
            return _KNOWN
        if note.revision == fleet.revision:
            digest = release_note.note_digest(note)
            return self.compare_digest(note.revision, digest, origin)
        if (note.base, note.base_digest) != (fleet.revision, fleet.digest):
            return offer_result.OfferResult.UNFIT
        try:
            new_fleet = release_note.apply_release_note(fleet, note)
        except errors.KingcupportError as error:
            return self._refuse(note.revision, error, origin)
        self._notes.append((fleet.digest, note))
        self._audit.record(
            'note_accepted',
            revision=new_fleet.revision,
            digest=new_fleet.digest,
            origin=origin,
        )
        self._replace(new_fleet)
        return offer_result.OfferResult.ACCEPTED

    def offer_fleet(self, fleet, origin):
        """Accept a whole fleet of a higher revision.

        Args:
            fleet: The Fleet.
            origin: Where it came from, for the audit trail.

        Returns:
            An OfferResult.
        """
        if fleet.revision < self._fleet.revision:
            return _KNOWN
        if fleet.revision == self._fleet.revision:
            return self.compare_digest(fleet.revision, fleet.digest, origin)
        # The notes so far lead to a fleet that may be another branch.
        self._notes.clear()
        self._audit.record(
            'fleet_accepted',
            revision=fleet.revision,
            digest=fleet.digest,
            origin=origin,
            previous_revision=self._fleet.revision,
            previous_digest=self._fleet.digest,
        )
        self._replace(fleet)
        return offer_result.OfferResult.ACCEPTED

    def offer_plain_note(self, plain, origin):
        """Read a note's plain form and offer it; a malformed one is refused.

        Returns:
            An OfferResult.
        """
        try:
            note = release_note.note_from_plain(plain)
        except errors.KingcupportError as error:
            return self._refuse(_plain_revision(plain), error, origin)
        return self.offer_note(note, origin)

    def offer_plain_fleet(self, plain, origin):
        """Read a fleet's plain form and offer it; a malformed one is refused.

        Returns:
            An OfferResult.
        """
        revision = _plain_revision(plain)
        # Reading thousands of entries is spared when they are not needed.
        if 0 <= revision < self._fleet.revision:
            return _KNOWN
        try:
            fleet = documents.fleet_from_plain(plain)
        except errors.KingcupportError as error:
            return self._refuse(revision, error, origin)
        return self.offer_fleet(fleet, origin)

    def compare_digest(self, revision, digest, origin):
        """Record a conflict if the revision in force has another digest.

        Args:
            revision: Revision in force elsewhere.
            digest: Digest of the fleet there.
            origin: Who reported it, for the audit trail and the status.

        Returns:
            ``OfferResult.CONFLICT`` or ``OfferResult.KNOWN``.
        """
        fleet = self._fleet
        if revision != fleet.revision or digest == fleet.digest:
            return _KNOWN
        # A command line asks with revision 0 and knows no digest.
        if revision == 0:
            return _KNOWN
        if digest not in self._conflicts:
            self._record_conflict(digest, origin)
        return _CONFLICT

    def differences_since(self, revision, digest):
        """Return the Difference between an asker's fleet and this one.

        Args:
            revision: The asker's revision.
            digest: Digest of the asker's fleet; on another branch it gets
                the whole fleet.
        """
        if revision >= self._fleet.revision:
            return Difference()
        notes = self._notes_after(revision, digest)
        if not notes or _count_entries(notes) > self._count_fleet():
            return Difference(fleet=self._fleet)
        return Difference(notes=notes)

    def _notes_after(self, revision, digest):
        for index, (base_digest, note) in enumerate(self._notes):
            if (note.base, base_digest) == (revision, digest):
                return tuple(n for _, n in list(self._notes)[index:])
        return ()

    def _count_fleet(self):
        fleet = self._fleet
        return (
            len(fleet.services)
            + len(fleet.balancers)
            + len(fleet.backend_servers)
        )

    def _record_conflict(self, digest, origin):
        fleet = self._fleet
        if len(self._conflicts) >= MAX_CONFLICTS:
            return
        self._conflicts[digest] = (
            f'revision {fleet.revision} is {fleet.digest[:8]} here and '
            f'{digest[:8]} at {origin}; a higher revision resolves it'
        )
        self._audit.record(
            'note_conflict',
            revision=fleet.revision,
            digest=fleet.digest,
            other_digest=digest,
            origin=origin,
        )

    def _refuse(self, revision, error, origin):
        key = (revision, error.reason)
        if key not in self._refusals:
            self._refusals[key] = True
            if len(self._refusals) > MAX_REFUSALS:
                self._refusals.popitem(last=False)
            self._audit.record(
                'note_refused',
                revision=revision,
                reason=str(error),
                origin=origin,
            )
        return _REFUSED

    def _replace(self, fleet):
        previous = self._fleet
        self._fleet = fleet
        self._conflicts.clear()
        self._peer_addresses = tuple(fleet.process_addresses().values())
        self._note_withdrawals(previous, fleet)
        self._changes.append((previous, fleet))
        # A callback may yield to a task that offers the next note.
        if not self._is_notifying:
            self._notify()

    def _note_withdrawals(self, previous, fleet):
        before = {**previous.balancers, **previous.backend_servers}
        now = fleet.balancers.keys() | fleet.backend_servers.keys()
        withdrawn = sorted(before.keys() - now)
        for name in withdrawn[:MAX_AUDITED_WITHDRAWALS]:
            self._audit.record(
                'withdrawal', revision=fleet.revision, process=name
            )
        if len(withdrawn) > MAX_AUDITED_WITHDRAWALS:
            self._audit.record(
                'withdrawal',
                revision=fleet.revision,
                others=len(withdrawn) - MAX_AUDITED_WITHDRAWALS,
            )
        for name in withdrawn:
            self._withdrawn_addresses[name] = _peer_address(before[name])
        if self._withdrawn_addresses:
            self._forget_reused_addresses(now)

    def _forget_reused_addresses(self, names):
        in_use = set(self._peer_addresses)
        kept = [
            (name, address)
            for name, address in self._withdrawn_addresses.items()
            if name not in names and address not in in_use
        ]
        self._withdrawn_addresses = collections.OrderedDict(
            kept[-MAX_WITHDRAWN_ADDRESSES:]
        )

    def _notify(self):
        self._is_notifying = True
        try:
            while self._changes:
                previous, fleet = self._changes.popleft()
                for callback in self._callbacks:
                    _call_safely(callback, previous, fleet)
        finally:
            self._is_notifying = False


def _call_safely(callback, previous, fleet):
    # One program part that fails must not keep a note from the others.
    try:
        callback(previous, fleet)
    except Exception:
        LOG.exception(
            'accept callback failed', extra={'revision': fleet.revision}
        )


def _peer_address(entry):
    if hasattr(entry, 'agent_address'):
        return entry.agent_address
    return entry.address


def _plain_revision(plain):
    revision = plain.get('revision') if isinstance(plain, dict) else None
    return revision if type(revision) is int else -1


def _count_entries(notes):
    return sum(
        len(entries)
        for note in notes
        for section in (note.added, note.changed, note.withdrawn)
        for entries in section.values()
    )
