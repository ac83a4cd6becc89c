"""Guards the archive that the platform's programs load their modules from."""

import pathlib
import shutil
import subprocess
import sys

import pytest

ROOT = pathlib.Path(__file__).parents[2]
WRITE = """
import sys
sys.path[:0] = ['bin', 'deps']
import module_archive, parcel.label
module_archive.write('bin/test.modules', list(sys.modules.values()))
"""
READ = """
import sys
sys.path[:0] = ['bin', 'deps']
import module_archive
module_archive.use('test.modules')
import parcel.label
print(parcel.label.TEXT, parcel.__path__, parcel.label.__file__)
print(type(parcel.label.__spec__.loader).__name__)
import parcel.late
print(type(parcel.late.__spec__.loader).__name__)
"""


@pytest.fixture
def folder(tmp_path):
    package = tmp_path / 'made' / 'deps/parcel'
    package.mkdir(parents=True)
    (package / '__init__.py').touch()
    (package / 'label.py').write_text("TEXT = 'from source'\n")
    (package / 'late.py').touch()
    (tmp_path / 'made/bin').mkdir()
    shutil.copy(ROOT / 'deploy/bin/module_archive.py', tmp_path / 'made/bin')
    run(tmp_path / 'made', WRITE)
    (package / 'label.py').write_text("TEXT = 'changed since'\n")
    shutil.rmtree(package / '__pycache__', ignore_errors=True)
    return tmp_path / 'made'


def run(folder, code):
    return subprocess.run(
        [sys.executable, '-S', '-c', code],
        cwd=folder,
        capture_output=True,
        text=True,
        check=True,
    )


def test_modules_come_from_the_archive(folder):
    result = run(folder, READ)
    text, loader, late_loader = result.stdout.splitlines()
    assert text.startswith('from source')
    assert loader == 'ModuleArchive'
    assert late_loader == 'SourceFileLoader'
    assert not result.stderr


def test_an_archive_works_in_a_folder_that_has_moved(folder):
    moved = folder.rename(folder.parent / 'moved')
    text, *_ = run(moved, READ).stdout.splitlines()
    assert text == (
        f"from source ['{moved}/deps/parcel'] {moved}/deps/parcel/label.py"
    )


@pytest.mark.parametrize('change', ['missing', 'of another interpreter'])
def test_without_a_usable_archive_modules_are_read_one_by_one(folder, change):
    archive = folder / 'bin/test.modules'
    if change == 'missing':
        archive.unlink()
    else:
        version = sys.version.encode()
        data = archive.read_bytes()
        assert data.count(version) == 1
        archive.write_bytes(data.replace(version, version[:-1] + b'?'))
    result = run(folder, READ)
    assert result.stdout.startswith('changed since')
    assert 'module archive is not used' in result.stderr
