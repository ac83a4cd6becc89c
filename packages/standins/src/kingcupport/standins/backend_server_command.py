"""Command that runs the backend server stand-in."""

import random

from cleo.commands import command
import cleo.helpers

from kingcupport.common import clock as clock_module
from kingcupport.standins import backend_server
from kingcupport.standins import fault_documents
from kingcupport.standins import json_server
from kingcupport.standins import program
from kingcupport.standins import server_behaviour


class BackendServerCommand(command.Command):
    """The command ``kingcupport-standin backend-server``."""

    name = 'backend-server'
    description = 'Runs requests in slots and counts every run.'
    options = [  # noqa: RUF012 - cleo declares it as an instance list
        cleo.helpers.option(
            'listen', None, 'ip:port to listen on.', flag=False
        ),
        cleo.helpers.option(
            'service', None, 'Name of the service.', flag=False
        ),
        cleo.helpers.option('server', None, 'Name of the server.', flag=False),
        cleo.helpers.option(
            'slots', None, 'Requests run at once.', flag=False, default='1'
        ),
        cleo.helpers.option(
            'behaviour',
            None,
            'JSON object with fields of ServerBehaviour.',
            flag=False,
            default='{}',
        ),
        cleo.helpers.option(
            'seed', None, 'Seed for stragglers.', flag=False, default='1'
        ),
    ]

    def handle(self):
        """Serve until terminated; return the exit code."""
        listen = program.read_address(self, 'listen')
        program.run_until_terminated(
            backend_server.BackendServer(
                listen,
                self._read_text('service'),
                self._read_text('server'),
                program.read_number(self, 'slots', minimum=1),
                clock_module.make_system_clock(),
                random.Random(program.read_number(self, 'seed')),
                self._read_behaviour(),
            )
        )
        return program.EXIT_OK

    def _read_text(self, name):
        text = self.option(name)
        if not text:
            raise program.OptionError(
                f'--{name} is missing', step='read_options'
            )
        return text

    def _read_behaviour(self):
        try:
            return fault_documents.read_document(
                fault_documents.parse_object(self.option('behaviour')),
                server_behaviour.ServerBehaviour,
            )
        except json_server.JsonRequestError as error:
            raise program.OptionError(
                f'--behaviour: {error.reason}', step='read_options'
            ) from None
