"""The command line application."""

import importlib.metadata
import sys

import cleo.application
import cleo.exceptions
import cleo.io.outputs.output
import cleo.io.outputs.stream_output

from kingcupport.cli import _command
from kingcupport.cli import audit_command
from kingcupport.cli import exit_code
from kingcupport.cli import explain_command
from kingcupport.cli import input_error
from kingcupport.cli import note_check_command
from kingcupport.cli import note_compose_command
from kingcupport.cli import note_diff_command
from kingcupport.cli import note_new_command
from kingcupport.cli import route_explain_command
from kingcupport.cli import status_command
from kingcupport.control import peer_caller
from kingcupport.fleet import release_note

_COMMANDS = (
    note_new_command.NoteNewCommand,
    note_check_command.NoteCheckCommand,
    note_diff_command.NoteDiffCommand,
    note_compose_command.NoteComposeCommand,
    status_command.StatusCommand,
    route_explain_command.RouteExplainCommand,
    audit_command.AuditCommand,
    explain_command.ExplainCommand,
)


class Application(cleo.application.Application):
    """Runs one command; reports an error as one line and an exit code."""

    def __init__(self):
        super().__init__(
            'kingcupport', importlib.metadata.version('kingcupport-cli')
        )
        self.auto_exits(False)
        self.catch_exceptions(False)

    def run(self, input=None, output=None, error_output=None):  # noqa: A002
        """Run the command named by the arguments; return an ExitCode."""
        error_output = (
            error_output
            or cleo.io.outputs.stream_output.StreamOutput(sys.stderr)
        )
        try:
            return super().run(input, output, error_output)
        except release_note.ReleaseNoteError as error:
            return _report_error(
                error_output, error, exit_code.ExitCode.PROBLEM
            )
        except peer_caller.PeerError as error:
            return _report_error(
                error_output, error, exit_code.ExitCode.NO_ANSWER
            )
        except (input_error.InputError, cleo.exceptions.CleoError) as error:
            return _report_error(
                error_output, error, exit_code.ExitCode.BAD_INPUT
            )


def _report_error(output, error, code):
    # cleo lists similar commands on further lines; errors are one line.
    line = ' '.join(_format_error(error).split())
    output.write_line(
        _command.printable(f'kingcupport: {line}'),
        cleo.io.outputs.output.Verbosity.QUIET,
        cleo.io.outputs.output.Type.RAW,
    )
    return code


def _format_error(error):
    if isinstance(error, peer_caller.PeerError):
        return f'{error.peer}: {error.reason}'
    if isinstance(error, release_note.ReleaseNoteError):
        return error.reason
    return str(error)


def make_application():
    """Return an Application with all commands registered."""
    application = Application()
    for command_class in _COMMANDS:
        application.add(command_class())
    return application
