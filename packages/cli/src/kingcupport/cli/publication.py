"""Files to publish for a release note."""

import contextlib
import json
import os
import pathlib
import tempfile

import attrs

from kingcupport.cli import input_error
from kingcupport.fleet import documents
from kingcupport.fleet import release_note

# The configuration service stores values of up to 1 MB.
MAX_DOCUMENT_BYTES = 1_000_000


@attrs.frozen
class Publication:
    """A release note and the resulting fleet, serialized as JSON.

    Args:
        revision: Revision of the note.
        digest: Digest of the resulting fleet, ``base_digest`` of the next
            note.
        note_text: Release note as JSON.
        fleet_text: Resulting fleet as JSON.
    """

    revision: int
    digest: str
    note_text: str
    fleet_text: str

    def write(self, directory):
        """Write ``note-<revision>.json`` and ``fleet-<revision>.json``.

        The directory is created if it is missing. Existing files with the
        same content are not rewritten.

        Returns:
            The two paths.

        Raises:
            InputError: A file cannot be written, or exists with other
                content; neither file is written then.
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
                _check_same_content(path, texts[path])
            _write_files(missing)
        except (OSError, ValueError) as error:
            reason = getattr(error, 'strerror', None) or str(error)
            raise input_error.InputError(directory, reason) from None
        return tuple(texts)


def _check_same_content(path, text):
    # A published revision must not change: processes keep the first version
    # that they receive.
    if path.read_bytes() != text.encode():
        raise input_error.InputError(
            path,
            'is there with another content; give the note a higher revision',
        )


def _write_files(texts):
    # Files are renamed into place only when all are complete, because the
    # configuration service may watch the directory.
    with contextlib.ExitStack() as stack:
        temporary_paths = {
            path: _write_temporary(stack, path, text)
            for path, text in texts.items()
        }
        for path, temporary_path in temporary_paths.items():
            os.replace(temporary_path, path)


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
        fleet: The Fleet that results from applying the note.

    Raises:
        ReleaseNoteError: A document exceeds ``MAX_DOCUMENT_BYTES``.
    """
    note_text = _serialize('note', release_note.note_to_dict(note))
    fleet_text = _serialize('fleet', documents.fleet_to_dict(fleet))
    return Publication(note.revision, fleet.digest, note_text, fleet_text)


def _serialize(name, plain):
    text = json.dumps(plain, ensure_ascii=False, separators=(',', ':')) + '\n'
    size_bytes = len(text.encode())
    if size_bytes > MAX_DOCUMENT_BYTES:
        raise release_note.ReleaseNoteError(
            f'{name} of {size_bytes} bytes exceeds the {MAX_DOCUMENT_BYTES} '
            f'bytes that the configuration service holds',
            step='compose_note',
        )
    return text
