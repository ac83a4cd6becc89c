"""Guards against changes that are missing in the printed difference."""

import cli_support


def test_difference_lists_the_changes(tmp_path):
    path = tmp_path / 'note.toml'
    path.write_text(cli_support.NOTE_1)
    result = cli_support.run('note', 'diff', path)
    assert result.exit_code == 0
    assert result.output.splitlines()[-1].startswith(
        'add backend server gate-1: service gate'
    )
    as_json = cli_support.run('note', 'diff', path, '--json')
    assert as_json.document['differences'] == result.output.splitlines()


def test_control_characters_in_a_note_are_escaped(tmp_path):
    path = tmp_path / 'note.toml'
    path.write_text(
        cli_support.NOTE_1.replace('dakar-plateau', r'\u001b[2J<info></>')
    )
    result = cli_support.run('note', 'diff', path, '--ansi')
    assert '\x1b' not in result.output
    assert r'\x1b[2J<info></>' in result.output
