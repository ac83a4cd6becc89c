"""Guards against invalid notes that pass the check."""

import cli_support
import pytest

_SECOND_SERVER = """
[[added.backend_servers]]
name = "gate-2"
service = "gates"
agent_address = "192.0.2.31:7000"
server_address = "192.0.2.31:8080"
data_centre = "dakar-plateau"
"""


@pytest.fixture
def note_path(tmp_path):
    path = tmp_path / 'note.toml'
    path.write_text(cli_support.NOTE_1)
    return path


def test_valid_note(note_path):
    result = cli_support.run('note', 'check', note_path)
    assert result.exit_code == 0
    assert 'release note 1 holds' in result.output
    as_json = cli_support.run('note', 'check', note_path, '--json')
    assert as_json.exit_code == 0
    assert as_json.document['revision'] == 1
    assert as_json.document['digest'] in result.output


@pytest.mark.parametrize(
    ('text', 'line', 'reason'),
    [
        (
            cli_support.NOTE_1.replace('server_address', 'server_adress'),
            18,
            "unknown field 'server_adress'",
        ),
        (cli_support.NOTE_1 + _SECOND_SERVER, 23, "unknown service 'gates'"),
        (
            cli_support.NOTE_1.replace('192.0.2.20:7000', '192.0.2.30:7000'),
            17,
            'share the address 192.0.2.30:7000',
        ),
    ],
    ids=['unknown field', 'unknown service', 'address used twice'],
)
@pytest.mark.parametrize('command', ['check', 'diff', 'compose'])
def test_invalid_note_is_reported_with_its_line(
    tmp_path, command, text, line, reason
):
    path = tmp_path / 'note.toml'
    path.write_text(text)
    out_dir = tmp_path / 'out'
    options = ['--out-dir', out_dir] if command == 'compose' else []
    result = cli_support.run('note', command, path, *options)
    cli_support.assert_error_line(result, 1, f'{path} line {line}: ', reason)
    assert not out_dir.exists()


@pytest.mark.parametrize(
    ('content', 'exit_code', 'word'),
    [
        (b'revision = ', 1, 'not TOML'),
        (b'revision = 1\n', 1, 'base is missing'),
        (b'a = ' + b'[' * 5000 + b']' * 5000, 1, 'nested too deeply'),
        (b'\xff', 2, 'not a UTF-8 file'),
    ],
)
def test_file_is_not_a_note(tmp_path, content, exit_code, word):
    path = tmp_path / 'note.toml'
    path.write_bytes(content)
    result = cli_support.run('note', 'check', path)
    cli_support.assert_error_line(result, exit_code, str(path), word)


@pytest.mark.parametrize(
    'content', ['', '[]', '{"revision": 1}', '[' * 100_000, '\0']
)
def test_file_is_not_a_fleet(tmp_path, note_path, content):
    fleet_path = tmp_path / 'fleet.json'
    fleet_path.write_text(content)
    result = cli_support.run('note', 'check', note_path, '--fleet', fleet_path)
    cli_support.assert_error_line(result, 2, str(fleet_path))


def test_note_for_another_base(tmp_path, note_path):
    out_dir = tmp_path / 'out'
    cli_support.run('note', 'compose', note_path, '--out-dir', out_dir)
    fleet_path = out_dir / 'fleet-1.json'
    result = cli_support.run('note', 'check', note_path, '--fleet', fleet_path)
    cli_support.assert_error_line(
        result, 1, 'base 0', 'not the fleet in force'
    )
