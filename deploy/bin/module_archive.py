"""Single-file archive of the compiled modules that a program imports.

Finding and reading 170 modules one by one takes some 2,000 file system calls,
which delay the start on an instance with a fraction of a core.
"""

import builtins
import marshal
import posix
import sys

_BIN_DIRECTORY = __file__.rpartition('/')[0]
_ROOT = _BIN_DIRECTORY.rpartition('/')[0]


# CO_FUTURE_ANNOTATIONS; other future features are always on in Python 3.11.
_FUTURE_FLAGS = 0x1000000
# Modules that libraries import for functions which are not called before the
# program runs. They are executed at the first use of an attribute.
_DEFERRED_MODULES = frozenset(
    (
        'attr.converters',
        'attr.filters',
        'attr.validators',
        'attrs.converters',
        'attrs.filters',
        'attrs.validators',
        'inspect',
    )
)


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
        if module.__spec__.name in _DEFERRED_MODULES:
            module.__class__ = _DeferredModule
        else:
            self.execute(module)

    def execute(self, module):
        """Execute the code of a module now.

        Args:
            module: The module.

        Raises:
            OSError: The archive cannot be read.
        """
        offset, size, _, _ = self._entries[module.__spec__.name]
        code = posix.pread(self._descriptor, size, self._start + offset)
        exec(marshal.loads(code), module.__dict__)


class _DeferredModule(type(sys)):
    """Module that is executed when a missing attribute is looked up."""

    def __getattr__(self, name):
        self.__class__ = type(sys)
        self.__spec__.loader.execute(self)
        return getattr(self, name)


class CompiledTexts:
    """Results of compiling Python source and regular expressions.

    Classes of attrs generate and compile their methods on every start, and
    modules compile their regular expressions. Both take a fifth of the time
    of the imports, and the results are the same on every start.

    Args:
        codes: Dict of marshalled code objects by (source, file name, flags).
        patterns: Dict of the arguments of ``_sre.compile`` by (pattern,
            flags).
    """

    def __init__(self, codes, patterns):
        self.codes = codes
        self.patterns = patterns
        self._compile = builtins.compile
        self._compiler = None
        self._compile_pattern = None

    def use(self):
        """Look up sources and patterns before compiling them."""

        def compile_source(source, filename, mode, *args, **options):
            if (
                type(source) is str
                and mode == 'exec'
                and not (args or options)
            ):
                flags = sys._getframe(1).f_code.co_flags & _FUTURE_FLAGS
                code = self.codes.get((source, filename, flags))
                if code is not None:
                    return marshal.loads(code)
                return self._compile(source, filename, mode, flags, True)
            return self._compile(source, filename, mode, *args, **options)

        def compile_pattern(pattern, flags=0):
            arguments = self.patterns.get((pattern, flags))
            if arguments is None:
                return self._compile_pattern(pattern, flags)
            return self._compiler._sre.compile(*arguments)

        self._replace(compile_source, compile_pattern)

    def record(self):
        """Store the result of each compilation until ``restore``."""

        def compile_source(source, filename, mode, *args, **options):
            if (
                type(source) is str
                and mode == 'exec'
                and not (args or options)
            ):
                flags = sys._getframe(1).f_code.co_flags & _FUTURE_FLAGS
                code = self._compile(source, filename, mode, flags, True)
                key = (source, filename, flags)
                self.codes[key] = marshal.dumps(code)
                return code
            return self._compile(source, filename, mode, *args, **options)

        def compile_pattern(pattern, flags=0):
            recorder = _PatternRecorder(self._compiler._sre)
            self._compiler._sre = recorder
            try:
                return self._compile_pattern(pattern, flags)
            finally:
                self._compiler._sre = recorder.sre
                if type(pattern) in (str, bytes) and recorder.arguments:
                    self.patterns[pattern, flags] = recorder.arguments

        self._replace(compile_source, compile_pattern)

    def restore(self):
        """Compile everything again from now on."""
        if self._compiler is None:
            return
        builtins.compile = self._compile
        self._compiler.compile = self._compile_pattern

    def _replace(self, compile_source, compile_pattern):
        from re import _compiler

        self._compiler = _compiler
        self._compile_pattern = _compiler.compile
        builtins.compile = compile_source
        _compiler.compile = compile_pattern


class _PatternRecorder:
    """Stands for ``_sre`` and keeps the arguments of ``compile``."""

    def __init__(self, sre):
        self.sre = sre
        self.arguments = None

    def __getattr__(self, name):
        return getattr(self.sre, name)

    def compile(self, pattern, flags, code, groups, group_index, index_group):
        """Compile a pattern and keep the arguments as built-in types."""
        self.arguments = (
            pattern,
            int(flags),
            [int(item) for item in code],
            groups,
            dict(group_index),
            tuple(index_group),
        )
        return self.sre.compile(
            pattern, flags, code, groups, group_index, index_group
        )


def install(name):
    """Install a finder that imports modules from an archive.

    If the archive cannot be used, modules are imported one by one from their
    own files, and a warning is written to standard error.

    Args:
        name: File name of the archive, in the directory of this module.

    Returns:
        The CompiledTexts in use, whose ``restore`` is called when the program
        has been imported.
    """
    texts = CompiledTexts({}, {})
    try:
        descriptor = posix.open(f'{_BIN_DIRECTORY}/{name}', posix.O_RDONLY)
    except OSError as error:
        _warn(name, error)
        return texts
    with open(descriptor, 'rb', closefd=False) as archive:
        written_by, entries, codes, patterns = marshal.load(archive)
        start = archive.tell()
    if written_by != _interpreter_id():
        posix.close(descriptor)
        _warn(name, 'written by another interpreter')
        return texts
    sys.meta_path.insert(0, ModuleArchive(descriptor, start, entries))
    texts = CompiledTexts(codes, patterns)
    texts.use()
    return texts


def write(path, modules, texts=None):
    """Write an archive of imported modules.

    Modules without a source file are skipped; other finders import them.

    Args:
        path: Path of the archive.
        modules: Iterable of modules.
        texts: CompiledTexts that were recorded; none by default.

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
        marshal.dump(
            (
                _interpreter_id(),
                entries,
                texts.codes if texts else {},
                texts.patterns if texts else {},
            ),
            archive,
        )
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
