"""Runs cleo applications that report errors on one line."""

import sys

from cleo import application
from cleo import exceptions
from cleo.io.inputs import argv_input

from kingcupport.common import errors
from kingcupport.standins import program


def run(name, commands, default=None):
    """Run a command line and return its exit code.

    Args:
        name: Name of the program.
        commands: The cleo commands of the program.
        default: Name of the only command, for programs without subcommands.
    """
    app = application.Application(name)
    app.auto_exits(False)
    app.catch_exceptions(False)
    for command in commands:
        app.add(command)
    arguments = sys.argv[:1] + ([default] if default else []) + sys.argv[1:]
    try:
        return app.run(argv_input.ArgvInput(arguments))
    except (
        errors.KingcupportError,
        exceptions.CleoError,
        OSError,
    ) as error:
        sys.stderr.write(f'{name}: {error}\n')
        return program.EXIT_BAD_SETTINGS
