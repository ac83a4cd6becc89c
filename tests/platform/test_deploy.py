"""Tests that the deployment files match the repository."""

import pathlib
import re
import tomllib

import pytest

from kingcupport.platform import feature_switches

ROOT = pathlib.Path(__file__).parents[2]
DEPLOY = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
NAMES = re.compile(r'[a-z0-9-]+')
FEATURES = feature_switches.FEATURES_VARIABLE


def test_roles_run_programs_that_the_build_installs():
    build = (ROOT / 'deploy/build').read_text()
    assert 'cp deploy/bin/*.py target/bin/' in build
    for role in DEPLOY['roles'].values():
        program = pathlib.Path(role['run'].split()[-1])
        assert program.parent == pathlib.Path('target/bin')
        assert (ROOT / 'deploy/bin' / program.name).is_file()


def test_every_class_of_instances_is_served():
    served = {
        name for role in DEPLOY['roles'].values() for name in role['serves']
    }
    assert served == {'front', 'control', 'side'}


def test_every_role_sets_the_same_known_features():
    """Agents report what balancers use, so both need a feature."""
    values = {role['env'][FEATURES] for role in DEPLOY['roles'].values()}
    (value,) = values
    assert value.split(',') == sorted(feature_switches.KNOWN_FEATURES)


def test_libraries_are_pinned():
    pins = (ROOT / 'constraints.txt').read_text().lower().split()
    pinned = {pin.partition('==')[0] for pin in pins}
    required = (ROOT / 'deploy/requirements.txt').read_text().split()
    assert set(required) <= pinned


@pytest.mark.parametrize('path', sorted((ROOT / 'packages').glob('*/src')))
def test_no_package_imports_the_platform(path):
    for module in path.rglob('*.py'):
        assert 'kingcupport.platform' not in module.read_text(), module


def test_build_installs_all_packages_that_the_programs_import():
    build = (ROOT / 'deploy/build').read_text()
    line = re.search(r'for package in (.*); do', build)[1]
    installed = set(line.split()) | {'platform'}
    project = tomllib.loads((ROOT / 'platform/pyproject.toml').read_text())
    required = {
        item.removeprefix('kingcupport-')
        for item in project['project']['dependencies']
        if item.startswith('kingcupport-')
    }
    assert required <= installed
