"""Entry point of the program ``kingcupport-demo``."""

import sys

from kingcupport.standins import command_line
from kingcupport.standins import demo_command


def main():
    """Run the demo and return the exit code."""
    return command_line.run(
        'kingcupport-demo', [demo_command.DemoCommand()], 'demo'
    )


if __name__ == '__main__':
    sys.exit(main())
