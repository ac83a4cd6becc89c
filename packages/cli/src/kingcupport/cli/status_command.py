"""The command ``kingcupport status``."""

import attrs
import cleo.helpers

from kingcupport.cli import _command
from kingcupport.cli import exit_code
from kingcupport.cli import fleet_status
from kingcupport.cli import input_error
from kingcupport.cli import input_files
from kingcupport.cli import peer_client
from kingcupport.wire import control_messages

_HEADERS = ('process', 'address', 'revision', 'state', 'verdict', 'detail')


class StatusCommand(_command.Command):
    """Prints which revision each process has in force."""

    name = 'status'
    description = 'Show which process has which revision in force.'
    help = (
        'Exit codes: 0 the newest revision is in force everywhere, 1 a '
        'process lags, conflicts or does not answer, 2 bad usage or input, '
        '3 nobody answered.'
    )
    options = (
        cleo.helpers.option(
            'fleet', None, 'Ask the processes of a fleet file.', flag=False
        ),
        cleo.helpers.option(
            'address',
            None,
            'Ask the process at ip:port; may be repeated.',
            flag=False,
            multiple=True,
        ),
        cleo.helpers.option(
            'problems', None, 'List only processes with a problem.'
        ),
        _command.TIMEOUT_OPTION,
        _command.JSON_OPTION,
    )

    def handle(self):
        """Run the command; return an ExitCode."""
        fleet = self._read_fleet()
        targets = self._list_targets(fleet)
        client = self.make_client()
        request = control_messages.StatusRequest(
            peer_client.SENDER, peer_client.REVISION
        )
        replies = client.ask_all(
            [address for _, address in targets],
            request,
            control_messages.StatusReply,
        )
        status = fleet_status.make_fleet_status(targets, replies, fleet)
        if self.option('json'):
            self.print_json(_to_json_object(status))
        else:
            self._print_status(status)
        return _find_exit_code(status)

    def _read_fleet(self):
        path = self.option('fleet')
        return None if path is None else input_files.read_fleet(path)

    def _list_targets(self, fleet):
        addresses = self.option('address')
        if fleet is None and not addresses:
            raise input_error.InputError(
                'status', 'needs --fleet FILE or --address IP:PORT'
            )
        named = fleet.process_addresses().items() if fleet else ()
        unnamed = [('', input_files.parse_address(a)) for a in addresses]
        targets = [*named, *unnamed]
        if not targets:
            raise input_error.InputError(
                self.option('fleet'), 'has no balancers or backend servers'
            )
        return targets

    def _print_status(self, status):
        rows = [
            (
                p.name,
                p.address,
                '-' if p.revision is None else p.revision,
                p.state or '-',
                p.verdict,
                p.detail,
            )
            for p in status.processes
            if not self.option('problems')
            or p.verdict != fleet_status.Verdict.IN_FORCE
        ]
        if rows:
            self.print_table(_HEADERS, rows)
        counts = ', '.join(
            f'{status.count(verdict)} {verdict}'
            for verdict in fleet_status.Verdict
        )
        self.print_line(
            f'revision {status.revision}, '
            f'{len(status.processes)} processes: {counts}'
        )


def _to_json_object(status):
    return {
        'revision': status.revision,
        'converged': status.converged,
        'processes': [attrs.asdict(p) for p in status.processes],
    }


def _find_exit_code(status):
    if not status.answered:
        return exit_code.ExitCode.NO_ANSWER
    if not status.converged:
        return exit_code.ExitCode.PROBLEM
    return exit_code.ExitCode.DONE
