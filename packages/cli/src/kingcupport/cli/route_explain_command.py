"""The command ``kingcupport route explain``."""

import attrs
import cleo.helpers

from kingcupport.cli import _command
from kingcupport.cli import exit_code
from kingcupport.cli import input_error
from kingcupport.cli import input_files
from kingcupport.cli import peer_client
from kingcupport.wire import control_messages

MAX_CONNECTION_ID = 2**64 - 1


class RouteExplainCommand(_command.Command):
    """Prints where a balancer would send a connection, and the steps."""

    name = 'route explain'
    description = 'Show where a balancer would send a connection.'
    help = (
        'Exit codes: 0 the balancer has a target, 1 it has none, 2 bad '
        'usage or input, 3 the balancer did not answer.'
    )
    arguments = (
        cleo.helpers.argument('service_address', 'ip:port of the service.'),
        cleo.helpers.argument(
            'connection_id', 'The connection, decimal or 0x hexadecimal.'
        ),
    )
    options = (
        cleo.helpers.option(
            'balancer', None, 'ip:port of the balancer.', flag=False
        ),
        _command.TIMEOUT_OPTION,
        _command.JSON_OPTION,
    )

    def handle(self):
        """Run the command; return an ExitCode."""
        if not self.option('balancer'):
            raise input_error.InputError('--balancer', 'is missing')
        service_address = input_files.parse_address(
            self.argument('service_address')
        )
        connection_id = input_files.parse_number(
            'connection_id', self.argument('connection_id'), MAX_CONNECTION_ID
        )
        reply = self.make_client().ask(
            input_files.parse_address(self.option('balancer')),
            control_messages.ExplainRequest(
                peer_client.SENDER,
                peer_client.REVISION,
                str(service_address),
                connection_id,
            ),
            control_messages.ExplainReply,
        )
        if self.option('json'):
            self.print_json(attrs.asdict(reply))
        else:
            self._print_route(reply, service_address)
        if not reply.target:
            return exit_code.ExitCode.PROBLEM
        return exit_code.ExitCode.DONE

    def _print_route(self, reply, service_address):
        if not reply.service:
            self.print_line(
                f'{reply.sender} has no service at {service_address} in '
                f'revision {reply.revision}'
            )
            return
        candidates = ', '.join(map(str, reply.candidates))
        rows = [
            ('balancer', reply.sender),
            ('revision', reply.revision),
            ('service', reply.service),
            ('bucket', reply.bucket),
            ('candidates', candidates or '-'),
            ('location hint', reply.hint or '-'),
            ('target', reply.target or 'none'),
        ]
        self.print_table(('step', 'result'), rows)
