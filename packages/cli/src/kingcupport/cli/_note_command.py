"""What the commands that read one release note share."""

import abc

import cleo.helpers

from kingcupport.cli import _command
from kingcupport.cli import exit_code
from kingcupport.cli import input_files


class NoteCommand(_command.Command, abc.ABC):
    """Reads a fleet and a release note that is based on it."""

    arguments = (cleo.helpers.argument('file', 'Release note (TOML).'),)
    options = (
        _command.FLEET_OPTION,
        _command.JSON_OPTION,
    )

    def handle(self):
        """Run the command; return an ExitCode."""
        fleet = input_files.read_fleet(self.option('fleet'))
        note, after = input_files.apply_note(fleet, self.argument('file'))
        findings, lines = self.examine(fleet, note, after)
        if self.option('json'):
            self.print_json(
                {'revision': note.revision, 'base': note.base, **findings}
            )
        else:
            for line in lines:
                self.print_line(line)
        return exit_code.ExitCode.DONE

    @abc.abstractmethod
    def examine(self, fleet, note, after):
        """Return what the command tells of a note.

        Args:
            fleet: Fleet that the note is based on.
            note: ReleaseNote.
            after: Fleet with the note in force.

        Returns:
            A dict for programs, and lines of text.
        """
