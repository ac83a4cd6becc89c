"""Entry point of the program ``kingcupport``."""

import os
import sys

from kingcupport.cli import application
from kingcupport.cli import exit_code


def main():
    """Run the program and exit with its exit code."""
    sys.exit(_run())


def _run():
    if sys.stdout is None or sys.stderr is None:
        if sys.stderr:
            print('kingcupport: output: is closed', file=sys.stderr)
        return exit_code.ExitCode.BAD_INPUT
    for stream in (sys.stdout, sys.stderr):
        # Names may hold characters that the terminal's encoding lacks.
        stream.reconfigure(errors='backslashreplace')
    try:
        code = application.make_application().run()
        # Output that is still buffered would fail after the exit code is set.
        sys.stdout.flush()
    except OSError as error:
        print(f'kingcupport: output: {error.strerror}', file=sys.stderr)
        # The interpreter flushes once more when it exits.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return exit_code.ExitCode.BAD_INPUT
    return code


if __name__ == '__main__':
    main()
