"""The command ``kingcupport note compose``."""

import cleo.helpers

from kingcupport.cli import _command
from kingcupport.cli import exit_code
from kingcupport.cli import input_error
from kingcupport.cli import input_files
from kingcupport.cli import publication


class NoteComposeCommand(_command.Command):
    """Writes a release note and its resulting fleet as JSON to publish."""

    name = 'note compose'
    description = 'Write the release note and the whole fleet to publish.'
    arguments = (cleo.helpers.argument('file', 'Release note (TOML).'),)
    options = (
        _command.FLEET_OPTION,
        cleo.helpers.option(
            'out-dir', None, 'Directory for the documents.', flag=False
        ),
        _command.JSON_OPTION,
    )

    def handle(self):
        """Run the command; return an ExitCode."""
        if not self.option('out-dir'):
            raise input_error.InputError('--out-dir', 'is missing')
        fleet = input_files.read_fleet(self.option('fleet'))
        note, after = input_files.apply_note(fleet, self.argument('file'))
        composed = publication.make_publication(note, after)
        note_path, fleet_path = composed.write(self.option('out-dir'))
        document = {
            'revision': composed.revision,
            'digest': composed.digest,
            'note': str(note_path),
            'fleet': str(fleet_path),
            'note_bytes': len(composed.note_text.encode()),
            'fleet_bytes': len(composed.fleet_text.encode()),
        }
        if self.option('json'):
            self.print_json(document)
        else:
            self.print_line(f'{note_path} {document["note_bytes"]} bytes')
            self.print_line(f'{fleet_path} {document["fleet_bytes"]} bytes')
            self.print_line(
                f'next note: base = {composed.revision}, '
                f'base_digest = "{composed.digest}"'
            )
        return exit_code.ExitCode.DONE
