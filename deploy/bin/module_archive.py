"""Single-file archive of the compiled modules that a program imports.

Finding and reading 170 modules one by one takes some 2,000 file system calls,
which delay the start on an instance with a fraction of a core.
"""

import marshal
import posix
import sys

_BIN_DIRECTORY = __file__.rpartition('/')[0]
_ROOT = _BIN_DIRECTORY.rpartition('/')[0]


class ModuleArchive:
    """Meta path finder and loader of the modules in an archive.

    Args:
        descriptor: File descriptor of the archive.
        start: Offset of the first module in the archive, in bytes.
        entries: Dict from the full name of a module to (offset from
            ``start`` in bytes, size in bytes, list of the search locations
            of a package or None, path of the source). Relative paths are
            relative to the parent of the archive's directory.
    """

    def __init__(self, descriptor, start, entries):
        self._descriptor = descriptor
        self._start = start
        self._entries = entries
        # ModuleSpec, taken from an existing spec so that importlib.machinery
        # need not be imported.
        self._module_spec_class = type(sys.__spec__)

    def find_spec(self, name, path=None, target=None):
        """Return the ModuleSpec of an archived module, or None.

        Args:
            name: Full name of the module.
            path: Ignored; names are unique in an archive.
            target: Ignored.
        """
        entry = self._entries.get(name)
        if entry is None:
            return None
        _, _, search_locations, origin = entry
        spec = self._module_spec_class(
            name,
            self,
            origin=_absolute(origin),
            is_package=search_locations is not None,
        )
        spec.has_location = True
        if search_locations is not None:
            spec.submodule_search_locations = [
                _absolute(location) for location in search_locations
            ]
        return spec

    def create_module(self, spec):
        """Return None to create the module in the default way.

        Args:
            spec: ModuleSpec.
        """

    def exec_module(self, module):
        """Execute the code of a module.

        Args:
            module: The module that the import system has created.

        Raises:
            OSError: The archive cannot be read.
        """
        offset, size, _, _ = self._entries[module.__spec__.name]
        code = posix.pread(self._descriptor, size, self._start + offset)
        exec(marshal.loads(code), module.__dict__)


def install(name):
    """Install a finder that imports modules from an archive.

    If the archive cannot be used, modules are imported one by one from their
    own files, and a warning is written to standard error.

    Args:
        name: File name of the archive, in the directory of this module.
    """
    try:
        descriptor = posix.open(f'{_BIN_DIRECTORY}/{name}', posix.O_RDONLY)
    except OSError as error:
        _warn(name, error)
        return
    with open(descriptor, 'rb', closefd=False) as archive:
        written_by, entries = marshal.load(archive)
        start = archive.tell()
    if written_by != _interpreter_id():
        posix.close(descriptor)
        _warn(name, 'written by another interpreter')
        return
    sys.meta_path.insert(0, ModuleArchive(descriptor, start, entries))


def write(path, modules):
    """Write an archive of imported modules.

    Modules without a source file are skipped; other finders import them.

    Args:
        path: Path of the archive.
        modules: Iterable of modules.

    Raises:
        OSError: A source cannot be read or the archive cannot be written.
    """
    entries = {}
    code_chunks = []
    offset = 0
    for module in modules:
        spec = getattr(module, '__spec__', None)
        if spec is None or not (spec.origin or '').endswith('.py'):
            continue
        code = marshal.dumps(spec.loader.get_code(spec.name))
        search_locations = spec.submodule_search_locations
        entries[spec.name] = (
            offset,
            len(code),
            search_locations
            and [_relative(location) for location in search_locations],
            _relative(spec.origin),
        )
        code_chunks.append(code)
        offset += len(code)
    with open(path, 'wb') as archive:
        marshal.dump((_interpreter_id(), entries), archive)
        archive.writelines(code_chunks)


def _interpreter_id():
    # Compiled code depends on the version, and the paths of the standard
    # library depend on the prefix.
    return (sys.version, sys.prefix)


def _absolute(path):
    return path if path.startswith('/') else f'{_ROOT}/{path}'


def _relative(path):
    return path.removeprefix(f'{_ROOT}/')


def _warn(name, reason):
    sys.stderr.write(
        f'level=WARNING event="module archive ignored" '
        f'archive={name} reason="{reason}"\n'
    )
