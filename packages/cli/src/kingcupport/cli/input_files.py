"""Reads files and arguments of the commands."""

import json
import pathlib

from kingcupport.cli import input_error
from kingcupport.common import address
from kingcupport.fleet import documents
from kingcupport.fleet import fleet as fleet_module
from kingcupport.fleet import release_note
from kingcupport.fleet import source_lines


def read_text(path, errors='strict'):
    """Return the text of a file.

    Args:
        path: Path of the file.
        errors: Error handler for bytes that are not UTF-8, as in ``open``.

    Raises:
        InputError: The file cannot be read or is not UTF-8.
    """
    try:
        return pathlib.Path(path).read_text('utf-8', errors)
    except OSError as error:
        raise input_error.InputError(path, error.strerror) from None
    except ValueError:
        # The text is not UTF-8, or the path contains a null byte.
        raise input_error.InputError(path, 'is not a UTF-8 file') from None


def read_fleet(path):
    """Return the Fleet in a JSON file written by ``note compose``.

    Args:
        path: Path of the file, or None for revision 0, the empty fleet.

    Raises:
        InputError: The file cannot be read or is not a fleet.
    """
    if path is None:
        return fleet_module.Fleet()
    try:
        return documents.fleet_from_dict(json.loads(read_text(path)))
    except documents.DocumentError as error:
        raise input_error.InputError(path, error.reason) from None
    except (ValueError, RecursionError) as error:
        raise input_error.InputError(path, f'is not JSON: {error}') from None


def read_note(path):
    """Return the text and the ReleaseNote of a TOML file.

    Raises:
        InputError: The file cannot be read.
        ReleaseNoteError: The file is not a release note.
    """
    text = read_text(path)
    return text, release_note.parse_release_note(text, path)


def apply_note(fleet, path):
    """Read a release note and apply it to a fleet.

    Args:
        fleet: The Fleet that the note is based on.
        path: Path of the note's TOML file.

    Returns:
        The ReleaseNote and the resulting Fleet.

    Raises:
        InputError: The file cannot be read.
        ReleaseNoteError: The note is malformed or does not apply to the
            fleet; the reason starts with the path and, where known, the
            line.
    """
    text, note = read_note(path)
    try:
        return note, release_note.apply_release_note(fleet, note)
    except release_note.ReleaseNoteError as error:
        line = source_lines.find_line(text, error.reason)
        location = f'{path} line {line}' if line else path
        raise release_note.ReleaseNoteError(
            f'{location}: {error.reason}', step=error.step
        ) from None


def parse_address(text):
    """Return the Address that an argument states.

    Raises:
        InputError: The text is not ``ip:port``.
    """
    try:
        return address.parse_address(text)
    except address.AddressError as error:
        raise input_error.InputError(
            'address', f'{error.reason}; allowed: ip:port'
        ) from None


def parse_number(name, text, maximum):
    """Return the integer in an argument, decimal or ``0x`` hexadecimal.

    Args:
        name: Name of the argument or option.
        text: Value of the argument or option.
        maximum: Greatest number allowed; the smallest is 0.

    Raises:
        InputError: The text is not an integer from 0 to the maximum.
    """
    is_hexadecimal = text.startswith('0x')
    try:
        number = int(text, 16 if is_hexadecimal else 10)
    except ValueError:
        number = -1
    if not 0 <= number <= maximum:
        raise input_error.InputError(
            name, f'{text!r}; allowed: a whole number from 0 to {maximum}'
        )
    return number
