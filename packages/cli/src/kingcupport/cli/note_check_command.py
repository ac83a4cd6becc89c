"""The command ``kingcupport note check``."""

from kingcupport.cli import _note_command


class NoteCheckCommand(_note_command.NoteCommand):
    """Checks that a release note is valid and applies to a fleet."""

    name = 'note check'
    description = 'Check a release note against the fleet it is based on.'

    def describe_note(self, fleet, note, after):
        """Implement ``NoteCommand.describe_note``."""
        line = (
            f'release note {note.revision} holds and fits revision '
            f'{note.base}; its digest is {after.digest}'
        )
        return {'digest': after.digest}, [line]
