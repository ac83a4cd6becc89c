"""Entry point of the program ``kingcupport``."""

import sys

from kingcupport.cli import application


def main():
    """Run the program and exit with its exit code."""
    sys.exit(application.make_application().run())


if __name__ == '__main__':
    main()
