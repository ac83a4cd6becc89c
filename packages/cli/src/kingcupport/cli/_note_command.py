"""Base class of the commands that read one release note."""

import abc

import cleo.helpers

from kingcupport.cli import _command
from kingcupport.cli import exit_code
from kingcupport.cli import input_files


class NoteCommand(_command.Command, abc.ABC):
    """Reads a release note and the fleet it is based on, and reports on it."""

    arguments = (cleo.helpers.argument('file', 'Release note (TOML).'),)
    options = (
        _command.FLEET_OPTION,
        _command.JSON_OPTION,
    )

    def handle(self):
        """Run the command; return an ExitCode."""
        fleet = input_files.read_fleet(self.option('fleet'))
        note, after = input_files.apply_note(fleet, self.argument('file'))
        findings, lines = self.describe_note(fleet, note, after)
        if self.option('json'):
            self.print_json(
                {'revision': note.revision, 'base': note.base, **findings}
            )
        else:
            for line in lines:
                self.print_line(line)
        return exit_code.ExitCode.DONE

    @abc.abstractmethod
    def describe_note(self, fleet, note, after):
        """Return the command's report on a note.

        Args:
            fleet: Fleet that the note is based on.
            note: ReleaseNote.
            after: Fleet that results from applying the note.

        Returns:
            A dict for the JSON output and a list of lines for the text output.
        """
