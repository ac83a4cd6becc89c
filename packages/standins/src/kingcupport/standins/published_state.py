"""What the platform has published: release notes, fleets and instances."""

import enum

import attrs

from kingcupport.common import errors
from kingcupport.fleet import fleet as fleet_module
from kingcupport.fleet import release_note

KEPT_NOTES_COUNT = 256


class PublishError(errors.KingcupportError):
    """A release note or fleet that does not follow the newest one."""

    code = 'not_published'


class InstanceState(enum.StrEnum):
    """State of an instance in the platform's membership list."""

    LIVE = 'live'
    LEAVING = 'leaving'
    GONE = 'gone'


@attrs.frozen
class Snapshot:
    """The published state as one reader sees it.

    Args:
        fleet: The whole Fleet.
        notes: The release notes still kept, in order of revision.
    """

    fleet: fleet_module.Fleet
    notes: tuple

    def notes_after(self, revision):
        """Return the notes above a revision, or None when some are gone."""
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
    """History of publications, so that readers can be shown an old state.

    Args:
        clock: Clock for the time of each publication.
        kept_notes_count: Number of release notes kept; readers further
            behind have to read the whole fleet.
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
        """Publish a release note on the newest fleet.

        Returns:
            The Fleet that it leads to.

        Raises:
            ReleaseNoteError: The note does not fit the newest fleet.
        """
        fleet = release_note.apply_release_note(self.fleet, note)
        self._append(fleet, note)
        return fleet

    def publish_fleet(self, fleet):
        """Publish a whole fleet without the note that leads to it.

        Raises:
            PublishError: Its revision is not above the newest one.
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
        """Return the state as of some time ago or up to a revision.

        Args:
            lag_ms: Publications younger than this are left out.
            max_revision: Publications above it are left out.
        """
        seen = self._seen(lag_ms, max_revision)
        notes = (p.note for p in self._after_last_fleet(seen))
        kept = tuple(notes)[-self._kept_notes_count :]
        return Snapshot(seen[-1].fleet, kept)

    def _after_last_fleet(self, seen):
        # Notes before a fleet that was published without one do not lead to
        # the newest fleet.
        starts = [i for i, p in enumerate(seen) if p.note is None]
        return seen[starts[-1] + 1 :]

    def _seen(self, lag_ms, max_revision):
        latest_ms = self._clock.monotonic_ms() - lag_ms
        first, *later = self._publications
        return [first] + [
            p
            for p in later
            if p.published_ms <= latest_ms
            and (max_revision is None or p.fleet.revision <= max_revision)
        ]

    def set_instance_state(self, name, state):
        """Set the state of an instance, whatever the fleet says."""
        change = _InstanceChange(self._clock.monotonic_ms(), name, state)
        self._instance_changes.append(change)

    def instance_states(self, lag_ms=0, max_revision=None):
        """Return the InstanceState by name.

        Instances of the newest fleet are live and those of earlier fleets
        are leaving, unless ``set_instance_state`` says otherwise.
        """
        seen = self._seen(lag_ms, max_revision)
        states = {
            name: InstanceState.LEAVING
            for publication in seen
            for name in publication.fleet.process_addresses()
        }
        current = seen[-1].fleet.process_addresses()
        states |= dict.fromkeys(current, InstanceState.LIVE)
        latest_ms = self._clock.monotonic_ms() - lag_ms
        states |= {
            change.name: change.state
            for change in self._instance_changes
            if change.changed_ms <= latest_ms
        }
        return states
