"""Writes the module archive of a program of the platform.

``deploy/build`` runs it as the program runs: without site packages and with
target/deps on the path.
"""

import importlib
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent


def main(program):
    """Load a program's modules and archive them beside the program.

    Args:
        program: Name of the program, as ``balancer``.

    Raises:
        ImportError: A module cannot be loaded.
        OSError: The archive cannot be written.
    """
    folder = ROOT / 'target/bin'
    sys.path.insert(0, str(folder))
    module_archive = importlib.import_module('module_archive')
    importlib.import_module(f'kingcupport.platform.{program}_program')
    module_archive.write(
        folder / f'{program}.modules', list(sys.modules.values())
    )


if __name__ == '__main__':
    main(sys.argv[1])
