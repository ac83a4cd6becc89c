"""The command ``kingcupport audit``."""

import datetime

import cleo.helpers

from kingcupport.cli import _command
from kingcupport.cli import exit_code
from kingcupport.cli import input_error
from kingcupport.cli import input_files
from kingcupport.cli import peer_client
from kingcupport.wire import control_messages

_MAX_SEQUENCE = 2**63 - 1
_FIELDS_WITH_COLUMN = ('sequence', 'utc_ms', 'kind')


class AuditCommand(_command.Command):
    """Prints the audit events of a process."""

    name = 'audit'
    description = 'Show what a process accepted, refused, drained or moved.'
    help = (
        'Exit codes: 0 done, 2 bad usage or input, 3 the process did not '
        'answer.'
    )
    options = (
        cleo.helpers.option(
            'address', None, 'ip:port of the process.', flag=False
        ),
        cleo.helpers.option(
            'after',
            None,
            'Only events with a greater sequence number.',
            flag=False,
            default='0',
        ),
        _command.TIMEOUT_OPTION,
        _command.JSON_OPTION,
    )

    def handle(self):
        """Run the command; return an ExitCode."""
        if not self.option('address'):
            raise input_error.InputError('--address', 'is missing')
        after = input_files.parse_number(
            '--after', self.option('after'), _MAX_SEQUENCE
        )
        reply = self.make_client().ask(
            input_files.parse_address(self.option('address')),
            control_messages.AuditRequest(
                peer_client.SENDER, peer_client.REVISION, after
            ),
            control_messages.AuditReply,
        )
        events = [e for e in reply.events if isinstance(e, dict)]
        if self.option('json'):
            self.print_json({'process': reply.sender, 'events': events})
        elif events:
            self.print_table(
                ('sequence', 'time', 'kind', 'fields'),
                [_make_row(event) for event in events],
            )
        else:
            self.print_line(f'{reply.sender} has no events after {after}')
        return exit_code.ExitCode.DONE


def _make_row(event):
    fields = ' '.join(
        f'{key}={value}'
        for key, value in event.items()
        if key not in _FIELDS_WITH_COLUMN
    )
    return (
        event.get('sequence', '-'),
        _format_time(event.get('utc_ms')),
        event.get('kind', '-'),
        fields,
    )


def _format_time(utc_ms):
    try:
        time = datetime.datetime.fromtimestamp(utc_ms / 1000, datetime.UTC)
    except (TypeError, ValueError, OverflowError, OSError):
        return '-'
    return time.isoformat(timespec='milliseconds')
