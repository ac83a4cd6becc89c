"""The command ``kingcupport note diff``."""

from kingcupport.cli import _note_command
from kingcupport.fleet import release_note


class NoteDiffCommand(_note_command.NoteCommand):
    """Prints what a release note changes, in words."""

    name = 'note diff'
    description = 'Print what a release note changes in the fleet.'

    def examine(self, fleet, note, after):
        """Implement ``NoteCommand.examine``."""
        lines = release_note.difference_lines(fleet, note)
        return {'differences': lines}, lines or ['nothing changes']
