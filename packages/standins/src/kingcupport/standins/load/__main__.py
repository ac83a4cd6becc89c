"""Entry point of the program ``kingcupport-load``."""

import sys

from kingcupport.standins import command_line
from kingcupport.standins import load_command


def main():
    """Run the load generator and return the exit code."""
    return command_line.run(
        'kingcupport-load', [load_command.LoadCommand()], 'load'
    )


if __name__ == '__main__':
    sys.exit(main())
