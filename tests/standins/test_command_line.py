"""Guards against stand-ins that start with unknown or invalid options."""

import pytest

from kingcupport.common import clock as clock_module
from kingcupport.standins import process_group


@pytest.fixture
def group(tmp_path):
    clock = clock_module.make_system_clock()
    with process_group.ProcessGroup(tmp_path, clock) as group:
        yield group


@pytest.mark.parametrize(
    ('arguments', 'reason'),
    [
        (('fabric', '--return-address=x:1'), 'allowed: ip:port'),
        (('fabric', '--speed=1'), '"--speed" does not exist'),
        (('configuration-service', '--listen=127.0.0.1:9'), 'a directory'),
        (('backend-server', '--listen=127.0.0.1:9'), '--service is missing'),
        (
            (
                'backend-server',
                '--listen=127.0.0.1:9',
                '--service=a',
                '--server=b',
                '--behaviour={"x":1}',
            ),
            '--behaviour: extra fields found (x)',
        ),
    ],
)
def test_invalid_options_exit_with_code_2(group, arguments, reason):
    group.start('standin', 'kingcupport.standins', *arguments)
    assert group.wait('standin', 10_000) == 2
    (line,) = group.log_text('standin').splitlines()
    assert reason in line
