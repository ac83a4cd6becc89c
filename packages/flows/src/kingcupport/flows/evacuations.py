"""Which data centres are evacuated, from the store or from peers.

Revisions in this module are qualified by the era of the store.
"""

import attrs
import msgpack

from kingcupport.common import errors
from kingcupport.flows import store_revision

# Names of data centres that are kept; further ones are rejected, so that a
# faulty writer cannot fill the memory.
MAX_DATA_CENTRES = 64
# Names of rejected items that are remembered to report each only once.
MAX_REJECTED_NAMES = 256

_ROW_TYPES = (str, bool, int)


@attrs.frozen
class Evacuation:
    """The newest known state of one data centre.

    Args:
        is_active: Whether the data centre is evacuated.
        written_revision: Revision at which the operator last wrote the entry;
            0 if that is not known.
        revision: Revision at which the evacuation began or ended.
    """

    is_active: bool
    written_revision: int
    revision: int


class Evacuations:
    """The evacuated data centres.

    An older revision never replaces a newer one. A data centre whose
    evacuation has ended is kept, so that peers learn of the end.

    After a restore of the store from a copy, an evacuation that the copy lacks
    stays in force until the view settles, and an entry of the copy does not
    bring back an evacuation that has ended. The operator writes again what the
    copy lacks meanwhile.

    Args:
        on_change: ``on_change(kind, **fields)`` is called for each change.

    Attributes:
        active: Names of the evacuated data centres.
        content_revision: Highest revision of a state; 0 before the first.
    """

    def __init__(self, on_change):
        self._on_change = on_change
        self._states = {}
        self._rejected_names = set()
        self.active = frozenset()
        self.content_revision = 0

    def __bool__(self):
        return bool(self._states)

    def apply(self, update, *, is_settled):
        """Merge the evacuations of a read from the store.

        Args:
            update: FleetUpdate.
            is_settled: Whether the view takes the entries of the store as they
                are; not so for a while after a restore.
        """
        for name, is_active, revision in update.evacuations:
            # The entry is the current one at the revision of a full read.
            read_revision = (
                max(revision, update.revision)
                if update.is_full_read
                else revision
            )
            self._put(name, is_active, revision, read_revision, is_settled)
        rejected_names = {name for name, _ in update.rejected_evacuations}
        if update.is_full_read:
            present = {name for name, _, _ in update.evacuations}
            for name in self.active - present - rejected_names:
                self._end_missing(name, update.revision, is_settled)
        for name, reason in update.rejected_evacuations:
            self._reject(name, reason)

    def _end_missing(self, name, revision, is_settled):
        known = self._states[name]
        is_from_copy = not is_settled and store_revision.era_of(
            known.revision
        ) != store_revision.era_of(revision)
        if not is_from_copy:
            self._put(
                name, False, known.written_revision, revision, is_settled
            )

    def to_rows(self):
        """Return the states as rows for the removals of a difference.

        A row has bytes in place of the name of a server, which versions of
        this program without evacuations ignore.
        """
        return [
            [
                msgpack.packb([name, state.is_active, state.written_revision]),
                state.revision,
            ]
            for name, state in sorted(self._states.items())
        ]

    def apply_row(self, row, *, is_settled):
        """Merge a row of ``to_rows`` from a peer.

        Args:
            row: List of bytes and a revision.
            is_settled: As in ``apply``.

        Raises:
            ValueError: The row has another shape.
        """
        packed, revision = row
        plain = msgpack.unpackb(packed)
        if (
            type(plain) is not list
            or tuple(map(type, plain)) != _ROW_TYPES
            or type(revision) is not int
            or not plain[0]
        ):
            raise ValueError('evacuation has a missing or mistyped field')
        name, is_active, written_revision = plain
        self._put(name, is_active, written_revision, revision, is_settled)

    def _put(self, name, is_active, written_revision, revision, is_settled):
        known = self._states.get(name)
        if known is None:
            if not is_active and len(self._states) >= MAX_DATA_CENTRES:
                return
            if len(self._states) >= MAX_DATA_CENTRES:
                self._reject(name, 'too many data centres')
                return
        elif known.is_active and is_active:
            self._raise_revision(name, known, written_revision)
            return
        elif revision <= known.revision or (
            is_active
            and not is_settled
            and _is_outdated_copy(known, written_revision)
        ):
            return
        if not is_active:
            written_revision = known.written_revision if known else 0
        self._set(name, Evacuation(is_active, written_revision, revision))
        if (name in self.active) == is_active:
            return
        self.active ^= {name}
        self._on_change(
            'evacuation_started' if is_active else 'evacuation_ended',
            data_centre=name,
            revision=store_revision.to_text(revision),
        )

    def _raise_revision(self, name, known, written_revision):
        # The entry was written again, maybe after a removal that this view has
        # not seen and that a lagging peer may report.
        if written_revision > known.revision:
            self._set(
                name, Evacuation(True, written_revision, written_revision)
            )

    def _set(self, name, state):
        self._states[name] = state
        self.content_revision = max(self.content_revision, state.revision)

    def _reject(self, name, reason):
        if name in self._rejected_names or (
            len(self._rejected_names) >= MAX_REJECTED_NAMES
        ):
            return
        self._rejected_names.add(name)
        self._on_change(
            'evacuation_rejected',
            data_centre=errors.shorten_repr(name),
            reason=reason,
        )


def _is_outdated_copy(known, written_revision):
    """Whether an entry is the one that the operator has removed.

    A copy has the entry at the number at which it was last written; an entry
    that was written after the restore has another number.
    """
    return store_revision.era_of(written_revision) != store_revision.era_of(
        known.revision
    ) and store_revision.number_of(
        written_revision
    ) == store_revision.number_of(known.written_revision)


def make_evacuations(on_change=lambda kind, **fields: None):
    """Return the state in which no data centre is evacuated.

    Args:
        on_change: As for Evacuations.
    """
    return Evacuations(on_change)
