"""Command that runs the configuration service stand-in."""

import pathlib

from cleo.commands import command
import cleo.helpers

from kingcupport.common import clock as clock_module
from kingcupport.standins import configuration_service
from kingcupport.standins import program
from kingcupport.standins import published_directory
from kingcupport.standins import published_state


class ConfigurationServiceCommand(command.Command):
    """The command ``kingcupport-standin configuration-service``."""

    name = 'configuration-service'
    description = 'Serves published notes, the fleet and the instance list.'
    options = [  # noqa: RUF012 - cleo declares it as an instance list
        cleo.helpers.option(
            'listen', None, 'ip:port to listen on.', flag=False
        ),
        cleo.helpers.option(
            'directory', None, 'Directory of published files.', flag=False
        ),
    ]

    def handle(self):
        """Serve until terminated; return the exit code."""
        listen = program.read_address(self, 'listen')
        directory = self.option('directory')
        if directory is None or not pathlib.Path(directory).is_dir():
            raise program.OptionError(
                f'--directory is {directory!r}; allowed: a directory',
                step='read_options',
            )
        clock = clock_module.make_system_clock()
        state = published_state.PublishedState(clock)
        program.run_until_terminated(
            configuration_service.ConfigurationService(
                listen,
                state,
                clock,
                published_directory.PublishedDirectory(directory, state),
            )
        )
        return program.EXIT_OK
