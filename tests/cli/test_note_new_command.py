"""Guards against a template that ``note check`` rejects."""

import re

import cli_support


def test_template_and_its_commented_entries_are_valid(tmp_path):
    template = cli_support.run('note', 'new').output
    start, _, entries = template.partition('# [[added.services]]')
    added, _, _ = entries.partition('# [[changed')
    path = tmp_path / 'note.toml'
    path.write_text(
        start + re.sub('^# ', '', '# [[added.services]]' + added, flags=re.M)
    )
    assert cli_support.run('note', 'check', path).exit_code == 0
    path.write_text(template)
    assert cli_support.run('note', 'check', path).exit_code == 0


def test_template_continues_a_fleet(tmp_path):
    path = tmp_path / 'note.toml'
    path.write_text(cli_support.NOTE_1)
    cli_support.run('note', 'compose', path, '--out-dir', tmp_path)
    fleet_path = tmp_path / 'fleet-1.json'
    template = cli_support.run('note', 'new', '--fleet', fleet_path).output
    path.write_text(template)
    result = cli_support.run('note', 'check', path, '--fleet', fleet_path)
    assert result.exit_code == 0
    assert 'release note 2' in result.output
