"""Reads published files from a directory."""

import json
import logging
import pathlib

import attrs

from kingcupport.common import errors
from kingcupport.fleet import documents
from kingcupport.fleet import fleet as fleet_module
from kingcupport.fleet import release_note

LOG = logging.getLogger(__name__)


class PublishedFileError(errors.KingcupportError):
    """A file that holds neither a release note nor a fleet."""

    code = 'bad_published_file'


@attrs.frozen
class _FileVersion:
    path: pathlib.Path
    modified_ns: int
    size_bytes: int


class PublishedDirectory:
    """Publishes the files of a directory in order of their revision.

    A file holds a plain release note or a plain fleet, as JSON (``*.json``),
    or a release note as operators write it (``*.toml``). Which of them it is
    follows from its content, so that file names are free.

    Args:
        path: The directory.
        published_state: PublishedState that takes the documents.
    """

    def __init__(self, path, published_state):
        self._path = pathlib.Path(path)
        self._state = published_state
        self._seen = set()

    def refresh(self):
        """Publish the documents of files that are new or have changed.

        A file that cannot be used is logged once and skipped.
        """
        fresh = [v for v in self._versions() if v not in self._seen]
        self._seen.update(fresh)
        published = [d for v in fresh if (d := _read_or_log(v)) is not None]
        # A note comes before the fleet that it leads to, which is then known.
        published.sort(
            key=lambda d: (d.revision, isinstance(d, fleet_module.Fleet))
        )
        for document in published:
            self._publish_or_log(document)

    def _versions(self):
        paths = [
            path
            for path in sorted(self._path.iterdir())
            if path.suffix in ('.json', '.toml')
        ]
        for path in paths:
            try:
                status = path.stat()
            except FileNotFoundError:
                continue
            yield _FileVersion(path, status.st_mtime_ns, status.st_size)

    def _publish_or_log(self, document):
        if document.revision <= self._state.fleet.revision:
            return
        try:
            if isinstance(document, fleet_module.Fleet):
                self._state.publish_fleet(document)
            else:
                self._state.publish(document)
        except errors.KingcupportError as error:
            LOG.warning(
                'publication refused',
                extra={'revision': document.revision, 'reason': str(error)},
            )
            return
        LOG.info('published', extra={'revision': document.revision})


def _read_or_log(version):
    try:
        return read_published_file(version.path)
    except errors.KingcupportError as error:
        LOG.warning(
            'file skipped',
            extra={'path': str(version.path), 'reason': str(error)},
        )
        return None


def read_published_file(path):
    """Read a file that holds a release note or a fleet.

    Args:
        path: Path of a ``.json`` or ``.toml`` file.

    Returns:
        A ReleaseNote or a Fleet.

    Raises:
        PublishedFileError: The file cannot be read or is not JSON.
        ReleaseNoteError: It is not a release note.
        DocumentError: It is not a fleet.
    """
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise PublishedFileError(str(error), step='read_file') from None
    if path.suffix == '.toml':
        return release_note.parse_release_note(text, path.name)
    try:
        plain = json.loads(text)
    except ValueError as error:
        raise PublishedFileError(
            f'is not JSON: {error}', step='read_file'
        ) from None
    if isinstance(plain, dict) and 'base' in plain:
        return release_note.note_from_plain(plain)
    return documents.fleet_from_plain(plain)
