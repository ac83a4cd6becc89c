"""Holds the current fleet and validates proposed replacements."""

import collections
import logging

import attrs

from kingcupport.common import errors
from kingcupport.control import offer_result
from kingcupport.fleet import documents
from kingcupport.fleet import fleet as fleet_module
from kingcupport.fleet import release_note

LOG = logging.getLogger(__name__)

# The configuration service returns at most this many notes in one response.
MAX_KEPT_NOTES = 64
# Bound the memory that malformed or contradictory offers can use.
MAX_CONFLICTS = 16
MAX_REFUSALS = 64
# Claims and connections are still requested from processes that have left
# the fleet.
MAX_WITHDRAWN_ADDRESSES = 1024
# A note that replaces a whole data centre must not evict all other events
# from the audit trail.
MAX_AUDITED_WITHDRAWALS = 64

_CONFLICT = offer_result.OfferResult.CONFLICT
_KNOWN = offer_result.OfferResult.KNOWN
_REFUSED = offer_result.OfferResult.REFUSED


@attrs.frozen
class FleetDifference:
    """Changes from a requester's fleet to the fleet in force.

    Args:
        notes: ReleaseNotes in order; empty when the requester is up to date.
        fleet: The whole Fleet when the kept notes do not continue the
            requester's fleet or are larger than the fleet, else None.
    """

    notes: tuple = ()
    fleet: fleet_module.Fleet | None = None


class FleetRegistry:
    """Holds the fleet in force, whose revision never decreases.

    Args:
        audit: AuditTrail for accepted, refused and conflicting offers.
    """

    def __init__(self, audit):
        self._audit = audit
        self._fleet = fleet_module.Fleet()
        self._peer_addresses = ()
        self._recent_notes = collections.deque(maxlen=MAX_KEPT_NOTES)
        self._conflicts = collections.OrderedDict()
        self._audited_refusals = collections.OrderedDict()
        self._withdrawn_addresses = collections.OrderedDict()
        self._accept_callbacks = []
        self._pending_changes = collections.deque()
        self._is_running_callbacks = False

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
        """One line for each other digest seen at the revision in force."""
        return list(self._conflicts.values())

    def add_accept_callback(self, callback):
        """Call ``callback(previous_fleet, fleet)`` after each acceptance.

        Calls come in order of the revisions, one at a time.
        """
        self._accept_callbacks.append(callback)

    def process_address(self, name):
        """Return the peer address of a process, or None.

        Args:
            name: Balancer or backend server of the fleet in force, or one
                that was withdrawn recently and whose address no other
                process uses.
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
            return self.check_digest(note.revision, digest, origin)
        if (note.base, note.base_digest) != (fleet.revision, fleet.digest):
            return offer_result.OfferResult.UNFIT
        try:
            new_fleet = release_note.apply_release_note(fleet, note)
        except errors.KingcupportError as error:
            return self._refuse(note.revision, error, origin)
        self._recent_notes.append((fleet.digest, note))
        self._audit.record(
            'note_accepted',
            revision=new_fleet.revision,
            digest=new_fleet.digest,
            origin=origin,
        )
        self._install_fleet(new_fleet)
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
            return self.check_digest(fleet.revision, fleet.digest, origin)
        # The kept notes may belong to another branch of the history than this
        # fleet.
        self._recent_notes.clear()
        self._audit.record(
            'fleet_accepted',
            revision=fleet.revision,
            digest=fleet.digest,
            origin=origin,
            previous_revision=self._fleet.revision,
            previous_digest=self._fleet.digest,
        )
        self._install_fleet(fleet)
        return offer_result.OfferResult.ACCEPTED

    def offer_plain_note(self, plain, origin):
        """Parse a note's plain form and offer it; refuse a malformed one.

        Returns:
            An OfferResult.
        """
        try:
            note = release_note.note_from_dict(plain)
        except errors.KingcupportError as error:
            return self._refuse(_plain_revision(plain), error, origin)
        return self.offer_note(note, origin)

    def offer_plain_fleet(self, plain, origin):
        """Parse a fleet's plain form and offer it; refuse a malformed one.

        Returns:
            An OfferResult.
        """
        revision = _plain_revision(plain)
        # Do not parse thousands of entries of a fleet that is older than the
        # one in force.
        if 0 <= revision < self._fleet.revision:
            return _KNOWN
        try:
            fleet = documents.fleet_from_dict(plain)
        except errors.KingcupportError as error:
            return self._refuse(revision, error, origin)
        return self.offer_fleet(fleet, origin)

    def check_digest(self, revision, digest, origin):
        """Record a conflict if the revision in force has another digest.

        Args:
            revision: Revision in force at the other process.
            digest: Digest of the fleet at the other process.
            origin: Source of the report, for the audit trail and the status.

        Returns:
            ``OfferResult.CONFLICT`` or ``OfferResult.KNOWN``.
        """
        fleet = self._fleet
        if revision != fleet.revision or digest == fleet.digest:
            return _KNOWN
        # The command line sends revision 0 without a digest.
        if revision == 0:
            return _KNOWN
        if digest not in self._conflicts:
            self._record_conflict(digest, origin)
        return _CONFLICT

    def differences_since(self, revision, digest):
        """Return the FleetDifference between a requester's fleet and this one.

        Args:
            revision: The requester's revision.
            digest: Digest of the requester's fleet; a requester on another
                branch of the history gets the whole fleet.
        """
        if revision >= self._fleet.revision:
            return FleetDifference()
        notes = self._notes_after(revision, digest)
        if (
            not notes
            or _count_note_entries(notes) > self._count_fleet_entries()
        ):
            return FleetDifference(fleet=self._fleet)
        return FleetDifference(notes=notes)

    def _notes_after(self, revision, digest):
        for index, (base_digest, note) in enumerate(self._recent_notes):
            if (note.base, base_digest) == (revision, digest):
                return tuple(n for _, n in list(self._recent_notes)[index:])
        return ()

    def _count_fleet_entries(self):
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
            f'revision {fleet.revision} is {fleet.digest[:8]} here '
            f'and {digest[:8]} at {origin}; a higher revision resolves it'
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
        if key not in self._audited_refusals:
            self._audited_refusals[key] = True
            if len(self._audited_refusals) > MAX_REFUSALS:
                self._audited_refusals.popitem(last=False)
            self._audit.record(
                'note_refused',
                revision=revision,
                reason=str(error),
                origin=origin,
            )
        return _REFUSED

    def _install_fleet(self, fleet):
        previous = self._fleet
        self._fleet = fleet
        self._conflicts.clear()
        self._peer_addresses = tuple(fleet.process_addresses().values())
        self._record_withdrawals(previous, fleet)
        self._pending_changes.append((previous, fleet))
        # A callback may yield to a task that offers the next note; the loop
        # that is already running delivers that change afterwards.
        if not self._is_running_callbacks:
            self._run_callbacks()

    def _record_withdrawals(self, previous, fleet):
        previous_entries = {**previous.balancers, **previous.backend_servers}
        current_names = fleet.balancers.keys() | fleet.backend_servers.keys()
        withdrawn = sorted(previous_entries.keys() - current_names)
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
            self._withdrawn_addresses[name] = _peer_address(
                previous_entries[name]
            )
        if self._withdrawn_addresses:
            self._drop_reused_addresses(current_names)

    def _drop_reused_addresses(self, names):
        used_addresses = set(self._peer_addresses)
        remaining = [
            (name, address)
            for name, address in self._withdrawn_addresses.items()
            if name not in names and address not in used_addresses
        ]
        self._withdrawn_addresses = collections.OrderedDict(
            remaining[-MAX_WITHDRAWN_ADDRESSES:]
        )

    def _run_callbacks(self):
        self._is_running_callbacks = True
        try:
            while self._pending_changes:
                previous, fleet = self._pending_changes.popleft()
                for callback in self._accept_callbacks:
                    _call_and_log_errors(callback, previous, fleet)
        finally:
            self._is_running_callbacks = False


def _call_and_log_errors(callback, previous, fleet):
    # A failing callback must not prevent the remaining callbacks.
    try:
        callback(previous, fleet)
    except Exception:
        LOG.exception(
            'fleet change callback failed; the change stays in force',
            extra={'revision': fleet.revision},
        )


def _peer_address(entry):
    if hasattr(entry, 'agent_address'):
        return entry.agent_address
    return entry.address


def _plain_revision(plain):
    revision = plain.get('revision') if isinstance(plain, dict) else None
    return revision if type(revision) is int else -1


def _count_note_entries(notes):
    return sum(
        len(entries)
        for note in notes
        for section in (note.added, note.changed, note.withdrawn)
        for entries in section.values()
    )
