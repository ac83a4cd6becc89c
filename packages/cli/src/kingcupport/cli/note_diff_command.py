"""The command ``kingcupport note diff``."""

import cleo.helpers

from kingcupport.cli import _command
from kingcupport.cli import exit_code
from kingcupport.cli import input_files
from kingcupport.fleet import release_note


class NoteDiffCommand(_command.Command):
    """Prints what a release note changes, in words."""

    name = 'note diff'
    description = 'Print what a release note changes in the fleet.'
    arguments = (cleo.helpers.argument('file', 'Release note (TOML).'),)
    options = (
        _command.FLEET_OPTION,
        _command.JSON_OPTION,
    )

    def handle(self):
        """Run the command; return an ExitCode."""
        fleet = input_files.read_fleet(self.option('fleet'))
        note, _ = input_files.apply_note(fleet, self.argument('file'))
        lines = release_note.difference_lines(fleet, note)
        if self.option('json'):
            self.print_json(
                {
                    'revision': note.revision,
                    'base': note.base,
                    'differences': lines,
                }
            )
        else:
            for line in lines or ['nothing changes']:
                self.print_line(line)
        return exit_code.ExitCode.DONE
