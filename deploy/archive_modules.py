"""Writes the module archive of a program of the platform.

``deploy/build`` runs this script in the same environment as the program:
without site packages and with target/deps on the module search path.
"""

import importlib
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent


def main(program):
    """Import a program's modules and archive them next to the program.

    Args:
        program: Name of the program, for example ``balancer``.

    Raises:
        ImportError: A module cannot be imported.
        OSError: The archive cannot be written.
    """
    bin_directory = ROOT / 'target/bin'
    sys.path.insert(0, str(bin_directory))
    module_archive = importlib.import_module('module_archive')
    texts = module_archive.CompiledTexts({}, {})
    texts.record()
    importlib.import_module(f'kingcupport.platform.{program}_program')
    texts.restore()
    module_archive.write(
        bin_directory / f'{program}.modules', list(sys.modules.values()), texts
    )


if __name__ == '__main__':
    main(sys.argv[1])
