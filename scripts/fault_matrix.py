"""Checks docs/fault-matrix.md and counts the cells covered by a test."""

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
    """Number of cells of the fault matrix, by content.

    Args:
        proved: Cells that name a test.
        not_proved: Cells marked "not proved".
        not_affected: Cells marked "not affected".
        unknown: Tuple of names that are no test, and of any other text.
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
    """Count the cells of the matrix on a page.

    Args:
        text: Text of the page.
        test_names: Names of the existing tests.

    Returns:
        A MatrixCount.
    """
    rows = [
        line.strip('|').split('|')[1:]
        for line in text.splitlines()
        if line.startswith('| ')
    ][2:]
    cells = [cell.strip() for row in rows for cell in row]
    test_cells = [c.strip('`') for c in cells if c.startswith('`')]
    other_cells = [c for c in cells if not c.startswith('`')]
    unknown = [name for name in test_cells if name not in test_names]
    unknown += [
        c for c in other_cells if c not in (_NOT_PROVED, _NOT_AFFECTED)
    ]
    return MatrixCount(
        proved=len(test_cells),
        not_proved=other_cells.count(_NOT_PROVED),
        not_affected=other_cells.count(_NOT_AFFECTED),
        unknown=tuple(unknown),
    )


def main():
    """Print the counts; return 1 if a cell has unknown content."""
    count = count_cells(PAGE.read_text(encoding='utf-8'), read_test_names())
    total = count.proved + count.not_proved
    print(f'fault matrix: {count.proved} of {total} cells proved')
    for name in count.unknown:
        print(f'fault matrix: {name!r} is no test')
    return 1 if count.unknown else 0


if __name__ == '__main__':
    sys.exit(main())
