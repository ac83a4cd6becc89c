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


COMPILED_MODULE = """
from __future__ import annotations
import inspect
import re
WORD = re.compile(r'(?P<first>[a-z])\\w*', re.IGNORECASE)
BYTES = re.compile(rb'[0-9]+')
TEXT = 'def add(a: missing, b=2):\\n    return a + b'
exec(compile(TEXT, '<made>', 'exec'))
"""
RECORD_SCRIPT = """
import sys
sys.path[:0] = ['bin', 'deps']
import module_archive
texts = module_archive.CompiledTexts({}, {})
texts.record()
import parcel.compiled
texts.restore()
module_archive.write(
    'bin/test.modules', list(sys.modules.values()), texts
)
"""
COMPILED_SCRIPT = """
import sys
sys.path[:0] = ['bin', 'deps']
import builtins, re._compiler
def fail(*arguments):
    raise AssertionError(f'compiled again: {arguments}')
plain = builtins.compile, re._compiler.compile
import module_archive
builtins.compile = re._compiler.compile = fail
texts = module_archive.install('test.modules')
import parcel.compiled as module
print('signature' in vars(module.inspect))
texts.restore()
assert (builtins.compile, re._compiler.compile) == (fail, fail)
builtins.compile, re._compiler.compile = plain
print(module.WORD.match('Thing')['first'], module.WORD.flags)
print(module.WORD == re.compile(r'(?P<first>[a-z])\\w*', re.IGNORECASE))
print(module.BYTES.findall(b'1 22'), module.add(1), module.add.__annotations__)
print(module.inspect.signature(module.add))
"""


def test_compiled_texts_are_the_same_as_compiled_again(root):
    """Guards against patterns or methods that differ from the original."""
    (root / 'deps/parcel/compiled.py').write_text(COMPILED_MODULE)
    run_python(root, RECORD_SCRIPT)
    result = run_python(root, COMPILED_SCRIPT)
    assert result.stdout.splitlines() == [
        'False',
        'T 34',
        'True',
        "[b'1', b'22'] 3 {'a': 'missing'}",
        "(a: 'missing', b=2)",
    ]
    assert not result.stderr


def test_program_without_an_archive_compiles_texts_itself(root):
    """Guards against a start that fails because the archive is missing."""
    (root / 'deps/parcel/compiled.py').write_text(COMPILED_MODULE)
    (root / 'bin/test.modules').unlink()
    script = """
import sys
sys.path[:0] = ['bin', 'deps']
import module_archive
texts = module_archive.install('test.modules')
import parcel.compiled
texts.restore()
print(parcel.compiled.add(1))
"""
    result = run_python(root, script)
    assert result.stdout == '3\n'
    assert 'module archive ignored' in result.stderr
