"""Holds the compiled modules that a program loads at its start in one file.

Finding and reading 170 modules one by one takes some 2,000 calls of the file
system, which delay a start on an instance with a fraction of a core.
"""

import marshal
import posix
import sys

_BIN_FOLDER = __file__.rpartition('/')[0]
_ROOT = _BIN_FOLDER.rpartition('/')[0]


class ModuleArchive:
    """Finds and loads modules from an archive; a finder of sys.meta_path.

    Args:
        descriptor: File descriptor of the archive.
        start: Offset of the first module, in bytes.
        entries: Dict of a module's full name to (offset in bytes, size in
            bytes, list of the folders of a package or None, path of the
            source). Paths without a leading slash are below the folder that
            holds the archive's folder.
    """

    def __init__(self, descriptor, start, entries):
        self._descriptor = descriptor
        self._start = start
        self._entries = entries
        # The type of the specs that the import system makes; importlib's own
        # module would be loaded for its name only.
        self._spec_class = type(sys.__spec__)

    def find_spec(self, name, path=None, target=None):
        """Return the ModuleSpec of an archived module, or None.

        Args:
            name: Full name of the module.
            path: Not used; names are unique in an archive.
            target: Not used.
        """
        entry = self._entries.get(name)
        if entry is None:
            return None
        _, _, folders, origin = entry
        spec = self._spec_class(
            name,
            self,
            origin=_absolute(origin),
            is_package=folders is not None,
        )
        spec.has_location = True
        if folders is not None:
            spec.submodule_search_locations = [
                _absolute(folder) for folder in folders
            ]
        return spec

    def create_module(self, spec):
        """Return None: modules are made the usual way.

        Args:
            spec: ModuleSpec.
        """

    def exec_module(self, module):
        """Run the code of a module.

        Args:
            module: The module that the import system has made.

        Raises:
            OSError: The archive cannot be read.
        """
        offset, size, _, _ = self._entries[module.__spec__.name]
        code = posix.pread(self._descriptor, size, self._start + offset)
        exec(marshal.loads(code), module.__dict__)


def use(name):
    """Import modules from an archive from now on.

    Without a usable archive modules are imported one by one, which a line on
    standard error tells.

    Args:
        name: File name of the archive, which lies beside this module.
    """
    try:
        descriptor = posix.open(f'{_BIN_FOLDER}/{name}', posix.O_RDONLY)
    except OSError as error:
        _warn(name, error)
        return
    with open(descriptor, 'rb', closefd=False) as archive:
        made_by, entries = marshal.load(archive)
        start = archive.tell()
    if made_by != _interpreter():
        posix.close(descriptor)
        _warn(name, 'made by another interpreter')
        return
    sys.meta_path.insert(0, ModuleArchive(descriptor, start, entries))


def write(path, modules):
    """Write an archive of loaded modules.

    Modules without a source file are left out: the import system finds them.

    Args:
        path: Path of the archive.
        modules: Iterable of modules.

    Raises:
        OSError: A source cannot be read or the archive cannot be written.
    """
    entries = {}
    codes = []
    offset = 0
    for module in modules:
        spec = getattr(module, '__spec__', None)
        if spec is None or not (spec.origin or '').endswith('.py'):
            continue
        code = marshal.dumps(spec.loader.get_code(spec.name))
        folders = spec.submodule_search_locations
        entries[spec.name] = (
            offset,
            len(code),
            folders and [_relative(folder) for folder in folders],
            _relative(spec.origin),
        )
        codes.append(code)
        offset += len(code)
    with open(path, 'wb') as archive:
        marshal.dump((_interpreter(), entries), archive)
        archive.writelines(codes)


def _interpreter():
    # Compiled code and the paths of the standard library belong to both.
    return (sys.version, sys.prefix)


def _absolute(path):
    return path if path.startswith('/') else f'{_ROOT}/{path}'


def _relative(path):
    return path.removeprefix(f'{_ROOT}/')


def _warn(name, reason):
    sys.stderr.write(
        f'level=WARNING event="module archive is not used" '
        f'archive={name} reason="{reason}"\n'
    )
