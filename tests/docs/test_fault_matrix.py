"""Checks that the fault matrix names only tests that exist."""

import fault_matrix

_PAGE = """
| fault | open | run |
| --- | --- | --- |
| balancer dies | `test_known` | `test_missing` |
| service down | not proved | perhaps |
"""


def test_page_names_only_tests():
    page = fault_matrix.PAGE.read_text(encoding='utf-8')
    names = fault_matrix.read_test_names()
    count = fault_matrix.count_cells(page, names)
    assert count.unknown == ()
    assert count.proved > 0


def test_unknown_names_and_words_are_found():
    count = fault_matrix.count_cells(_PAGE, {'test_known'})
    assert count.unknown == ('test_missing', 'perhaps')
    assert (count.proved, count.not_proved) == (2, 1)
