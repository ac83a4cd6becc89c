"""The command ``kingcupport note check``."""

import cleo.helpers

from kingcupport.cli import _command
from kingcupport.cli import exit_code
from kingcupport.cli import input_files


class NoteCheckCommand(_command.Command):
    """Checks that a release note holds and fits a fleet."""

    name = 'note check'
    description = 'Check a release note against the fleet it is based on.'
    arguments = (cleo.helpers.argument('file', 'Release note (TOML).'),)
    options = (
        _command.FLEET_OPTION,
        _command.JSON_OPTION,
    )

    def handle(self):
        """Run the command; return an ExitCode."""
        fleet = input_files.read_fleet(self.option('fleet'))
        note, after = input_files.apply_note(fleet, self.argument('file'))
        if self.option('json'):
            self.print_json(
                {
                    'revision': note.revision,
                    'base': note.base,
                    'digest': after.digest,
                }
            )
        else:
            self.print_line(
                f'release note {note.revision} holds and fits revision '
                f'{note.base}; its digest is {after.digest}'
            )
        return exit_code.ExitCode.DONE
