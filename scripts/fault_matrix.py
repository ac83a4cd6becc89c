"""Checks docs/fault-matrix.md and counts its proved cells."""

import pathlib
import re
import sys

import attrs

_ROOT = pathlib.Path(__file__).parents[1]
PAGE = _ROOT / 'docs' / 'fault-matrix.md'
_NOT_PROVED = 'not proved'
_NOT_AFFECTED = 'not affected'


@attrs.frozen
class MatrixCount:
    """Numbers of cells of the fault matrix.

    Args:
        proved: Cells that name a test.
        not_proved: Cells that say so.
        not_affected: Cells that the fault cannot touch.
        unknown: Names in cells that are no test, or other text, in a tuple.
    """

    proved: int
    not_proved: int
    not_affected: int
    unknown: tuple


def read_test_names():
    """Return the names of all test functions and test cases."""
    pattern = re.compile(r'^(?:def (test_\w+)|(Test\w+) = )', re.MULTILINE)
    return {
        name
        for path in (_ROOT / 'tests').rglob('test_*.py')
        for match in pattern.findall(path.read_text(encoding='utf-8'))
        for name in match
        if name
    }


def count_cells(text, test_names):
    """Count the cells of the matrix in a page.

    Args:
        text: The page.
        test_names: Names that a cell may give.

    Returns:
        A MatrixCount.
    """
    rows = [
        line.strip('|').split('|')[1:]
        for line in text.splitlines()
        if line.startswith('| ')
    ][2:]
    cells = [cell.strip() for row in rows for cell in row]
    named = [c.strip('`') for c in cells if c.startswith('`')]
    plain = [c for c in cells if not c.startswith('`')]
    unknown = [name for name in named if name not in test_names]
    unknown += [c for c in plain if c not in (_NOT_PROVED, _NOT_AFFECTED)]
    return MatrixCount(
        proved=len(named),
        not_proved=plain.count(_NOT_PROVED),
        not_affected=plain.count(_NOT_AFFECTED),
        unknown=tuple(unknown),
    )


def main():
    """Print the count; return 1 if a cell names no test."""
    count = count_cells(PAGE.read_text(encoding='utf-8'), read_test_names())
    total = count.proved + count.not_proved
    print(f'fault matrix: {count.proved} of {total} cells proved')
    for name in count.unknown:
        print(f'fault matrix: {name!r} is no test')
    return 1 if count.unknown else 0


if __name__ == '__main__':
    sys.exit(main())
