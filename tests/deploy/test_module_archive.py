"""Tests importing modules from a module archive."""

import pathlib
import shutil
import subprocess
import sys

import pytest

REPOSITORY = pathlib.Path(__file__).parents[2]
WRITE_SCRIPT = """
import sys
sys.path[:0] = ['bin', 'deps']
import module_archive, parcel.label
module_archive.write('bin/test.modules', list(sys.modules.values()))
"""
READ_SCRIPT = """
import sys
sys.path[:0] = ['bin', 'deps']
import module_archive
module_archive.install('test.modules')
import parcel.label
print(parcel.label.TEXT, parcel.__path__, parcel.label.__file__)
print(type(parcel.label.__spec__.loader).__name__)
import parcel.late
print(type(parcel.late.__spec__.loader).__name__)
"""


@pytest.fixture
def root(tmp_path):
    package = tmp_path / 'original' / 'deps/parcel'
    package.mkdir(parents=True)
    (package / '__init__.py').touch()
    (package / 'label.py').write_text("TEXT = 'from source'\n")
    (package / 'late.py').touch()
    (tmp_path / 'original/bin').mkdir()
    shutil.copy(
        REPOSITORY / 'deploy/bin/module_archive.py', tmp_path / 'original/bin'
    )
    run_python(tmp_path / 'original', WRITE_SCRIPT)
    (package / 'label.py').write_text("TEXT = 'changed later'\n")
    shutil.rmtree(package / '__pycache__', ignore_errors=True)
    return tmp_path / 'original'


def run_python(root, code):
    return subprocess.run(
        [sys.executable, '-S', '-c', code],
        cwd=root,
        capture_output=True,
        text=True,
        check=True,
    )


def test_modules_are_imported_from_the_archive(root):
    result = run_python(root, READ_SCRIPT)
    text, loader, late_loader = result.stdout.splitlines()
    assert text.startswith('from source')
    assert loader == 'ModuleArchive'
    assert late_loader == 'SourceFileLoader'
    assert not result.stderr


def test_archive_works_after_its_directory_was_moved(root):
    moved = root.rename(root.parent / 'moved')
    text, *_ = run_python(moved, READ_SCRIPT).stdout.splitlines()
    assert text == (
        f"from source ['{moved}/deps/parcel'] {moved}/deps/parcel/label.py"
    )


@pytest.mark.parametrize('defect', ['missing', 'other interpreter'])
def test_unusable_archive_is_ignored_with_a_warning(root, defect):
    archive = root / 'bin/test.modules'
    if defect == 'missing':
        archive.unlink()
    else:
        version = sys.version.encode()
        data = archive.read_bytes()
        assert data.count(version) == 1
        archive.write_bytes(data.replace(version, version[:-1] + b'?'))
    result = run_python(root, READ_SCRIPT)
    assert result.stdout.startswith('changed later')
    assert 'module archive ignored' in result.stderr
