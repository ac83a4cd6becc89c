"""Published release notes, fleets and instance states."""

import enum

import attrs

from kingcupport.common import errors
from kingcupport.fleet import fleet as fleet_module
from kingcupport.fleet import release_note

KEPT_NOTES_COUNT = 256


class PublishError(errors.KingcupportError):
    """A fleet's revision is not above the newest one."""

    code = 'not_published'


class InstanceState(enum.StrEnum):
    """State of an instance in the platform's instance list."""

    LIVE = 'live'
    LEAVING = 'leaving'
    GONE = 'gone'


@attrs.frozen
class Snapshot:
    """Published state that is visible to a reader.

    Args:
        fleet: The newest visible Fleet.
        notes: The stored release notes that lead to it, in order of
            revision.
    """

    fleet: fleet_module.Fleet
    notes: tuple

    def notes_after(self, revision):
        """Return the notes above a revision, None if some are not stored."""
        if revision >= self.fleet.revision:
            return ()
        notes = tuple(n for n in self.notes if n.revision > revision)
        if not notes or notes[0].base > revision:
            return None
        return notes


@attrs.frozen
class _Publication:
    published_ms: float
    fleet: fleet_module.Fleet
    note: release_note.ReleaseNote | None


@attrs.frozen
class _InstanceChange:
    changed_ms: float
    name: str
    state: InstanceState


class PublishedState:
    """History of publications, from which older states can be served.

    Args:
        clock: Clock for the times of publications.
        kept_notes_count: Number of release notes stored; readers with an
            older revision have to read the whole fleet.
    """

    def __init__(self, clock, kept_notes_count=KEPT_NOTES_COUNT):
        self._clock = clock
        self._kept_notes_count = kept_notes_count
        first = _Publication(-float('inf'), fleet_module.Fleet(), None)
        self._publications = [first]
        self._instance_changes = []

    @property
    def fleet(self):
        """The newest fleet."""
        return self._publications[-1].fleet

    def publish(self, note):
        """Publish a release note that is based on the newest fleet.

        Returns:
            The resulting Fleet.

        Raises:
            ReleaseNoteError: The note does not apply to the newest fleet.
        """
        fleet = release_note.apply_release_note(self.fleet, note)
        self._append(fleet, note)
        return fleet

    def publish_fleet(self, fleet):
        """Publish a whole fleet without a release note.

        Raises:
            PublishError: The revision is not above the newest one.
        """
        if fleet.revision <= self.fleet.revision:
            raise PublishError(
                f'revision {fleet.revision} is not above '
                f'{self.fleet.revision}',
                step='publish_fleet',
            )
        self._append(fleet, None)

    def _append(self, fleet, note):
        published_ms = self._clock.monotonic_ms()
        self._publications.append(_Publication(published_ms, fleet, note))

    def snapshot(self, lag_ms=0, max_revision=None):
        """Return a Snapshot, optionally of an older state.

        Args:
            lag_ms: Publications more recent than this are hidden.
            max_revision: Publications above this revision are hidden; None
                hides none.
        """
        visible = self._list_visible(lag_ms, max_revision)
        notes = (p.note for p in self._skip_to_last_fleet(visible))
        kept = tuple(notes)[-self._kept_notes_count :]
        return Snapshot(visible[-1].fleet, kept)

    def _skip_to_last_fleet(self, visible):
        # Notes before a fleet that was published without a note do not lead to
        # the newest fleet.
        fleet_indexes = [i for i, p in enumerate(visible) if p.note is None]
        return visible[fleet_indexes[-1] + 1 :]

    def _list_visible(self, lag_ms, max_revision):
        latest_ms = self._clock.monotonic_ms() - lag_ms
        first, *later = self._publications
        return [first] + [
            p
            for p in later
            if p.published_ms <= latest_ms
            and (max_revision is None or p.fleet.revision <= max_revision)
        ]

    def set_instance_state(self, name, state):
        """Override the state of an instance that follows from the fleet."""
        change = _InstanceChange(self._clock.monotonic_ms(), name, state)
        self._instance_changes.append(change)

    def instance_states(self, lag_ms=0, max_revision=None):
        """Return the InstanceState of each instance by name.

        Instances in the newest fleet are live and those only in earlier
        fleets are leaving, unless overridden by ``set_instance_state``.
        """
        visible = self._list_visible(lag_ms, max_revision)
        states = {
            name: InstanceState.LEAVING
            for publication in visible
            for name in publication.fleet.process_addresses()
        }
        current = visible[-1].fleet.process_addresses()
        states |= dict.fromkeys(current, InstanceState.LIVE)
        latest_ms = self._clock.monotonic_ms() - lag_ms
        states |= {
            change.name: change.state
            for change in self._instance_changes
            if change.changed_ms <= latest_ms
        }
        return states
