"""Guards against error messages that name the wrong line."""

import pytest

from kingcupport.fleet import source_lines

_TEXT = """\
revision = 8
# gate-1 moves
[[added.backend_servers]]
name = "gate-10"
slots = 1
[[added.backend_servers]]
name = "gate-1"
slots = "1"
[[changed.services]]
name = "gate-1"
address = "192.0.2.1:443"
"""


@pytest.mark.parametrize(
    ('reason', 'line'),
    [
        ("added.backend_servers 'gate-1': slots is '1', not int", 8),
        ("added.backend_servers 'gate-1': address is missing", 7),
        ("changed.services 'gate-1' is not in the fleet", 10),
        ("'a' and 'gate-1' share the address 192.0.2.1:443", 11),
        ("unknown key 'revision'", 1),
        ('base 7 d is not the fleet in force, 6 d', None),
    ],
)
def test_line_of_an_error_reason(reason, line):
    assert source_lines.find_line(_TEXT, reason) == line
