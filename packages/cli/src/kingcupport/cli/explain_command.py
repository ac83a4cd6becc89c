"""The command ``kingcupport explain``."""

import datetime
import itertools
import pathlib

import cleo.helpers

from kingcupport.cli import _command
from kingcupport.cli import exit_code
from kingcupport.cli import input_files
from kingcupport.observability import log_line
from kingcupport.observability import request_trace

_OMITTED_FIELDS = frozenset({'level', 'logger'})


class ExplainCommand(_command.Command):
    """Prints the logged events of a request and of the processes around it."""

    name = 'explain'
    description = 'Show what became of a request, from the logs.'
    help = (
        'Exit codes: 0 done, 1 no line mentions the request, 2 bad usage or '
        'input.'
    )
    arguments = (
        cleo.helpers.argument(
            'id',
            'Id of the request, or ip:port of its client when the request '
            'was never sent.',
        ),
        cleo.helpers.argument(
            'logs', 'Log files of balancers and agents.', multiple=True
        ),
    )
    options = (_command.JSON_OPTION,)

    def handle(self):
        """Run the command; return an ExitCode."""
        identity = self.argument('id')
        lines = list(
            itertools.chain.from_iterable(
                map(_read_log, self.argument('logs'))
            )
        )
        request_lines, context_lines = request_trace.trace_request(
            identity, lines
        )
        if self.option('json'):
            self.print_json(
                {
                    'id': identity,
                    'request': [
                        _to_json_object(line) for line in request_lines
                    ],
                    'beliefs': [
                        _to_json_object(line) for line in context_lines
                    ],
                }
            )
        elif request_lines:
            self.print_line(f'{identity}:')
            self._print_lines(request_lines)
            self.print_line('changes around that time:')
            self._print_lines(context_lines)
        else:
            self.print_line(f'no line mentions {identity}')
        if request_lines:
            return exit_code.ExitCode.DONE
        return exit_code.ExitCode.PROBLEM

    def _print_lines(self, lines):
        if not lines:
            self.print_line('none')
            return
        self.print_table(
            ('time', 'process', 'event', 'inputs and outcome'),
            [
                (
                    _format_time(line.utc_ms),
                    line.source,
                    line.event,
                    ' '.join(f'{k}={v}' for k, v in _list_fields(line)),
                )
                for line in lines
            ],
        )


def _read_log(path):
    source = pathlib.Path(path).stem
    texts = input_files.read_text(path, errors='replace').splitlines()
    parsed = (log_line.parse_log_line(text, source) for text in texts)
    return [line for line in parsed if line is not None]


def _list_fields(line):
    return [(k, v) for k, v in line.fields.items() if k not in _OMITTED_FIELDS]


def _to_json_object(line):
    return {
        'utc_ms': line.utc_ms,
        'process': line.source,
        'event': line.event,
        'fields': dict(_list_fields(line)),
    }


def _format_time(utc_ms):
    time = datetime.datetime.fromtimestamp(utc_ms / 1000, datetime.UTC)
    return time.isoformat(timespec='milliseconds')
