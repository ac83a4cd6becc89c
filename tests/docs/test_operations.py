"""Checks that the operations page matches the programs."""

import importlib
import pathlib
import pkgutil
import re

import attrs
import pytest

import kingcupport
from kingcupport.agent import data_path_counters as agent_counters
from kingcupport.agent import settings as agent_settings
from kingcupport.balancer import data_path_counters as balancer_counters
from kingcupport.balancer import settings as balancer_settings
from kingcupport.common import errors
from kingcupport.common import settings
from kingcupport.fleet import fleet as fleet_module
from kingcupport.fleet import release_note

_ROOT = pathlib.Path(__file__).parents[2]
_PAGE = (_ROOT / 'docs' / 'OPERATIONS.md').read_text(encoding='utf-8')
_SETTINGS = {
    'balancer': balancer_settings.BalancerSettings,
    'agent': agent_settings.AgentSettings,
}


def _example(kind):
    return re.search(rf'```toml {kind}\n(.*?)```', _PAGE, re.DOTALL)[1]


def _first_cells(section):
    text = _PAGE.split(f'{section}\n', 1)[1].split('\n#', 1)[0]
    return re.findall(r'^\| `([^|]+)` \| ([^|]+) \|', text, re.MULTILINE)


def _flatten(settings_class, prefix=''):
    attrs.resolve_types(settings_class)
    for field in attrs.fields(settings_class):
        if attrs.has(field.type) and field.name in ('limits', 'log'):
            yield from _flatten(field.type, f'{prefix}{field.name}.')
        else:
            yield prefix + field.name, _describe_default(field.default)


def _describe_default(default):
    if default is attrs.NOTHING:
        return 'required'
    if default == ():
        return '`[]`'
    return f'`{default}`' if isinstance(default, str) else str(default)


@pytest.mark.parametrize('program', _SETTINGS)
def test_exactly_the_settings_are_listed_with_their_defaults(program):
    listed = _first_cells(f'### kingcupport-{program}')
    assert dict(listed) == dict(_flatten(_SETTINGS[program]))


@pytest.mark.parametrize('program', _SETTINGS)
def test_example_settings_are_accepted(tmp_path, program):
    path = tmp_path / 'example.toml'
    path.write_text(_example(program))
    settings.load_settings(path, _SETTINGS[program])


def test_example_release_note_holds():
    note = release_note.parse_release_note(_example('note'), 'operations.md')
    fleet = release_note.apply_release_note(fleet_module.Fleet(), note)
    assert len(fleet.backend_servers) == 3


@pytest.mark.parametrize(
    ('program', 'counters'),
    [('balancer', balancer_counters), ('agent', agent_counters)],
)
def test_counters_are_listed(program, counters):
    table = _PAGE.split(f'| {program} | meaning |', 1)[1].split('\n\n', 1)[0]
    listed = set(re.findall(r'`(\w+)_total`', table))
    counted = set(attrs.fields_dict(counters.DataPathCounters))
    assert listed == counted | {'control_events'}


def test_metrics_of_alerts_are_listed():
    alerts = _PAGE.split('| alert |', 1)[1].split('\n\n', 1)[0]
    named = set(re.findall(r'kingcupport_(balancer|agent)_(\w+)', alerts))
    assert named
    for program, name in named:
        table = _PAGE.split(f'| {program} | meaning |', 1)[1]
        assert f'`{name}`' in table.split('\n\n', 1)[0]


def test_audit_kinds_are_listed():
    sources = (_ROOT / 'packages').glob('*/src/kingcupport/**/*.py')
    recorded = {
        kind
        for path in sources
        for kind in re.findall(
            r"audit\.record\(\s*'(\w+)'", path.read_text(encoding='utf-8')
        )
    }
    listed = {kind for kind, _ in _first_cells('## Audit trail')}
    assert listed == recorded


def test_error_codes_are_listed():
    for module in pkgutil.walk_packages(kingcupport.__path__, 'kingcupport.'):
        if not module.name.endswith('__main__'):
            importlib.import_module(module.name)
    raised = {
        error.code
        for error in _subclasses(errors.KingcupportError)
        if error.__module__.startswith('kingcupport.')
        and not error.__module__.startswith('kingcupport.standins')
    }
    listed = {code for code, _ in _first_cells('## Error codes')}
    assert listed == raised


def _subclasses(error_class):
    yield error_class
    for subclass in error_class.__subclasses__():
        yield from _subclasses(subclass)
