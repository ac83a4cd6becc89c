"""Base class, common options and output helpers of the commands."""

import json

import cleo.commands.command
import cleo.formatters.formatter
import cleo.helpers
import cleo.io.outputs.output

from kingcupport.cli import input_error
from kingcupport.cli import input_files
from kingcupport.cli import peer_client

DEFAULT_TIMEOUT_MS = 2000
MAX_TIMEOUT_MS = 600_000

_RAW_OUTPUT = cleo.io.outputs.output.Type.RAW

JSON_OPTION = cleo.helpers.option(
    'json', None, 'Print one JSON document for programs.'
)
FLEET_OPTION = cleo.helpers.option(
    'fleet',
    None,
    'Fleet file that the note is based on (JSON, as "note compose" writes '
    'it). Without it the base is revision 0, the empty fleet.',
    flag=False,
)
TIMEOUT_OPTION = cleo.helpers.option(
    'timeout-ms',
    None,
    'Milliseconds to wait for a process.',
    flag=False,
    default=str(DEFAULT_TIMEOUT_MS),
)


def printable(value):
    """Return a value as text with non-printable characters escaped."""
    return ''.join(
        character
        if character.isprintable()
        else character.encode('unicode_escape').decode()
        for character in str(value)
    )


class Command(cleo.commands.command.Command):
    """Command that prints lines, tables and JSON documents."""

    def print_line(self, text):
        """Print one line without markup; escapes non-printable characters."""
        self.io.write_line(printable(text), type=_RAW_OUTPUT)

    def print_text(self, text):
        """Print text verbatim, without markup."""
        self.io.write(text, type=_RAW_OUTPUT)

    def print_json(self, document):
        """Print a document of dicts, lists and scalars as indented JSON."""
        self.print_text(json.dumps(_to_json_value(document), indent=2) + '\n')

    def print_table(self, headers, rows):
        """Print a table; markup and control characters are escaped."""
        escape = cleo.formatters.formatter.Formatter.escape
        table = self.table(style='compact')
        table.set_headers(list(headers))
        table.set_rows([[escape(printable(c)) for c in row] for row in rows])
        table.render()

    def make_client(self):
        """Return a PeerClient with the timeout from ``--timeout-ms``.

        Raises:
            InputError: The timeout is not a number or is out of range.
        """
        timeout_ms = input_files.parse_number(
            '--timeout-ms', self.option('timeout-ms'), MAX_TIMEOUT_MS
        )
        if timeout_ms == 0:
            raise input_error.InputError(
                '--timeout-ms', f'0; allowed: 1 to {MAX_TIMEOUT_MS}'
            )
        return peer_client.PeerClient(timeout_ms)


def _to_json_value(value):
    # Replies of other processes may contain bytes, also as dict keys.
    if isinstance(value, dict):
        return {str(key): _to_json_value(item) for key, item in value.items()}
    if isinstance(value, (list, tuple)):
        return [_to_json_value(item) for item in value]
    if value is None or isinstance(value, (bool, int, float, str)):
        return value
    return str(value)
