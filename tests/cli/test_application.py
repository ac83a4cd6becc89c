"""Guards against tracebacks and wrong exit codes on invalid usage."""

import os
import subprocess
import sys

import cli_support
import pytest


@pytest.mark.parametrize(
    ('arguments', 'words'),
    [
        (['note'], ['"note" does not exist']),
        (['note', 'check'], ['Not enough arguments']),
        (['status', '--adress', '127.0.0.1:1'], ['--adress']),
        (['status'], ['--fleet', '--address']),
        (['status', '--address', 'localhost:1'], ['ip:port']),
        (
            ['status', '--address', '127.0.0.1:1', '--timeout-ms', '0'],
            ['--timeout-ms'],
        ),
        (['audit'], ['--address']),
        (['audit', '--address', '127.0.0.1:1', '--after', 'x'], ['--after']),
        (['route', 'explain', '127.0.0.1:1', '7'], ['--balancer']),
        (
            ['route', 'explain', 'x', '7', '--balancer', '127.0.0.1:1'],
            ['ip:port'],
        ),
        (
            [
                *('route', 'explain', '127.0.0.1:1', str(2**64)),
                *('--balancer', '127.0.0.1:1'),
            ],
            ['connection_id', str(2**64 - 1)],
        ),
    ],
)
def test_invalid_usage_is_reported_on_one_line(arguments, words):
    cli_support.assert_error_line(cli_support.run(*arguments), 2, *words)


def test_commands_are_listed():
    result = cli_support.run()
    assert result.exit_code == 0
    assert 'route explain' in result.output


def test_program_reports_its_exit_code():
    completed = subprocess.run(
        [sys.executable, '-m', 'kingcupport.cli', 'note', 'check', 'absent'],
        capture_output=True,
        text=True,
        timeout=30,
    )
    assert completed.returncode == 2
    assert completed.stdout == ''
    assert (
        completed.stderr == 'kingcupport: absent: No such file or directory\n'
    )


@pytest.mark.parametrize(
    ('output', 'reason'),
    [('/dev/full', 'No space left on device'), ('&-', 'is closed')],
)
def test_unwritable_output_is_reported(output, reason):
    command = f'exec "$0" -m kingcupport.cli note new >{output}'
    completed = subprocess.run(
        ['sh', '-c', command, sys.executable],
        capture_output=True,
        text=True,
        timeout=30,
    )
    assert completed.returncode == 2
    assert completed.stderr == f'kingcupport: output: {reason}\n'


def test_character_missing_in_the_terminal_encoding_is_escaped(tmp_path):
    path = tmp_path / 'note.toml'
    path.write_text(cli_support.NOTE_1.replace('dakar', 'thi\u00e8s'))
    completed = subprocess.run(
        [sys.executable, '-m', 'kingcupport.cli', 'note', 'diff', path],
        capture_output=True,
        text=True,
        timeout=30,
        env={**os.environ, 'PYTHONIOENCODING': 'ascii'},
    )
    assert completed.returncode == 0
    assert r'thi\xe8s-plateau' in completed.stdout
