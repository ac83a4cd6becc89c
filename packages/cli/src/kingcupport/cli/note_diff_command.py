"""The command ``kingcupport note diff``."""

from kingcupport.cli import _note_command
from kingcupport.fleet import release_note


class NoteDiffCommand(_note_command.NoteCommand):
    """Prints the changes that a release note makes, one a line."""

    name = 'note diff'
    description = 'Print what a release note changes in the fleet.'

    def describe_note(self, fleet, note, after):
        """Implement ``NoteCommand.describe_note``."""
        lines = release_note.describe_note(fleet, note)
        return {'differences': lines}, lines or ['nothing changes']
