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
        # Names may contain characters that the terminal cannot encode.
        stream.reconfigure(errors='backslashreplace')
    try:
        code = application.make_application().run()
        # Flushed here, so that a write error still sets the exit code.
        sys.stdout.flush()
    except OSError as error:
        print(f'kingcupport: output: {error.strerror}', file=sys.stderr)
        # The interpreter flushes stdout again at exit, which would fail too.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return exit_code.ExitCode.BAD_INPUT
    return code


if __name__ == '__main__':
    main()
