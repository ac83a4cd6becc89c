"""Entry point of the program ``kingcupport-standin``."""

import sys

from kingcupport.standins import backend_server_command
from kingcupport.standins import command_line
from kingcupport.standins import configuration_service_command
from kingcupport.standins import fabric_command


def main():
    """Run the stand-in named on the command line; return the exit code."""
    return command_line.run(
        'kingcupport-standin',
        [
            configuration_service_command.ConfigurationServiceCommand(),
            backend_server_command.BackendServerCommand(),
            fabric_command.FabricCommand(),
        ],
    )


if __name__ == '__main__':
    sys.exit(main())
