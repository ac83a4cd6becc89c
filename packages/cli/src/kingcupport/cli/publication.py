"""The files that are published for a release note."""

import contextlib
import json
import os
import pathlib
import tempfile

import attrs

from kingcupport.cli import input_error
from kingcupport.fleet import documents
from kingcupport.fleet import release_note

# The configuration service holds values of up to 1 MB.
MAX_DOCUMENT_BYTES = 1_000_000


@attrs.frozen
class Publication:
    """A release note and the whole fleet after it, as JSON texts.

    Args:
        revision: Revision of the note.
        digest: Digest of the fleet after it, the next note's ``base_digest``.
        note_text: The note as JSON.
        fleet_text: The whole fleet as JSON.
    """

    revision: int
    digest: str
    note_text: str
    fleet_text: str

    def write(self, directory):
        """Write ``note-<revision>.json`` and ``fleet-<revision>.json``.

        The directory is created if it is missing. A file that is there with
        the same content is left alone.

        Returns:
            The two paths.

        Raises:
            InputError: A file cannot be written, or is there with another
                content; then neither is written.
        """
        directory = pathlib.Path(directory)
        texts = {
            directory / f'note-{self.revision}.json': self.note_text,
            directory / f'fleet-{self.revision}.json': self.fleet_text,
        }
        try:
            directory.mkdir(parents=True, exist_ok=True)
            missing = {
                path: text for path, text in texts.items() if not path.exists()
            }
            for path in texts.keys() - missing.keys():
                _check_unchanged(path, texts[path])
            _write_all(missing)
        except (OSError, ValueError) as error:
            reason = getattr(error, 'strerror', None) or str(error)
            raise input_error.InputError(directory, reason) from None
        return tuple(texts)


def _check_unchanged(path, text):
    # A published revision never changes: processes keep the first they see.
    if path.read_bytes() != text.encode():
        raise input_error.InputError(
            path,
            'is there with another content; give the note a higher revision',
        )


def _write_all(texts):
    # The files get their names only when all of them are complete, because
    # the configuration service may watch the directory.
    with contextlib.ExitStack() as stack:
        temporary = {
            path: _write_temporary(stack, path, text)
            for path, text in texts.items()
        }
        for path, written in temporary.items():
            os.replace(written, path)


def _write_temporary(stack, path, text):
    descriptor, name = tempfile.mkstemp('.tmp', '.', path.parent)
    stack.callback(pathlib.Path(name).unlink, missing_ok=True)
    with open(descriptor, 'w', encoding='utf-8') as file:
        os.fchmod(descriptor, 0o644)
        file.write(text)
        file.flush()
        os.fsync(descriptor)
    return name


def make_publication(note, fleet):
    """Return the Publication of a note.

    Args:
        note: The ReleaseNote.
        fleet: The Fleet after it.

    Raises:
        ReleaseNoteError: A document exceeds ``MAX_DOCUMENT_BYTES``.
    """
    note_text = _to_text('note', release_note.note_to_plain(note))
    fleet_text = _to_text('fleet', documents.fleet_to_plain(fleet))
    return Publication(note.revision, fleet.digest, note_text, fleet_text)


def _to_text(name, plain):
    text = json.dumps(plain, ensure_ascii=False, separators=(',', ':')) + '\n'
    size_bytes = len(text.encode())
    if size_bytes > MAX_DOCUMENT_BYTES:
        raise release_note.ReleaseNoteError(
            f'{name} of {size_bytes} bytes exceeds the {MAX_DOCUMENT_BYTES} '
            f'bytes that the configuration service holds',
            step='compose_note',
        )
    return text
