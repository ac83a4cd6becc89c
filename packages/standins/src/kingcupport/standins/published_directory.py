"""Publishes the release notes and fleets in a directory."""

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
    """A published file cannot be read or is not JSON."""

    code = 'bad_published_file'


@attrs.frozen
class _FileVersion:
    path: pathlib.Path
    modified_ns: int
    size_bytes: int


class PublishedDirectory:
    """Publishes the files in a directory in order of their revision.

    A file contains a release note or a fleet as JSON (``*.json``), or a
    release note in the operators' format (``*.toml``). The kind of a JSON
    document is determined by its content, so file names are arbitrary.

    Args:
        path: Path of the directory.
        published_state: PublishedState that receives the documents.
    """

    def __init__(self, path, published_state):
        self._path = pathlib.Path(path)
        self._state = published_state
        self._processed_versions = set()

    def refresh(self):
        """Publish the documents in files that are new or have changed.

        A file that is invalid is logged once and skipped.
        """
        new_versions = [
            v
            for v in self._list_versions()
            if v not in self._processed_versions
        ]
        self._processed_versions.update(new_versions)
        published = [
            d for v in new_versions if (d := _read_or_log(v)) is not None
        ]
        # A note is published before the fleet of the same revision, which is
        # then already known and skipped.
        published.sort(
            key=lambda d: (d.revision, isinstance(d, fleet_module.Fleet))
        )
        for document in published:
            self._publish_or_log(document)

    def _list_versions(self):
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
                'published document does not apply, ignored',
                extra={'revision': document.revision, 'reason': str(error)},
            )
            return
        LOG.info('published', extra={'revision': document.revision})


def _read_or_log(version):
    try:
        return read_published_file(version.path)
    except errors.KingcupportError as error:
        LOG.warning(
            'invalid published file skipped',
            extra={'path': str(version.path), 'reason': str(error)},
        )
        return None


def read_published_file(path):
    """Read a file that contains a release note or a fleet.

    Args:
        path: Path of a ``.json`` or ``.toml`` file.

    Returns:
        A ReleaseNote or a Fleet.

    Raises:
        PublishedFileError: The file cannot be read or is not JSON.
        ReleaseNoteError: The file is not a release note.
        DocumentError: The file is not a fleet.
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
        return release_note.note_from_dict(plain)
    return documents.fleet_from_dict(plain)
