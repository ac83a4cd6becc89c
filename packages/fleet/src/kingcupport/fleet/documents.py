"""Converts fleets and entries to and from serialisable plain forms.

A plain form consists of dicts, lists and scalars that msgpack, JSON and TOML
can represent.
"""

import attrs

from kingcupport.common import address
from kingcupport.common import errors
from kingcupport.fleet import backend_server
from kingcupport.fleet import balancer
from kingcupport.fleet import fleet as fleet_module
from kingcupport.fleet import service

ENTRY_CLASSES = {
    'services': service.Service,
    'balancers': balancer.Balancer,
    'backend_servers': backend_server.BackendServer,
}

# Largest integer that all codecs in use can encode.
MAX_INTEGER = 2**63 - 1
# Bounds the size of a revision notice to a small datagram.
MAX_DIGEST_LENGTH = 64


class DocumentError(errors.KingcupportError):
    """A document that is not a valid fleet or release note."""

    code = 'bad_document'


def entry_to_plain(entry):
    """Return a Service, Balancer or BackendServer as a dict of scalars."""
    return {
        field.name: _value_to_plain(getattr(entry, field.name))
        for field in attrs.fields(type(entry))
    }


def entry_from_plain(kind, plain):
    """Build a Service, Balancer or BackendServer from a dict of scalars.

    Args:
        kind: ``services``, ``balancers`` or ``backend_servers``.
        plain: Field values by name; fields with a default may be absent.

    Returns:
        The entry.

    Raises:
        DocumentError: Unknown or missing field, wrong type, bad address.
    """
    entry_class = ENTRY_CLASSES[kind]
    if not isinstance(plain, dict):
        raise DocumentError(f'{kind} entry is not a table', step='read_entry')
    fields = attrs.fields_dict(entry_class)
    name = errors.shorten_repr(plain.get('name', '?'))
    for key in plain:
        if key not in fields:
            raise DocumentError(
                f'{kind} {name}: unknown field {errors.shorten_repr(key)}',
                step='read_entry',
            )
    for key, field in fields.items():
        if key not in plain and field.default is attrs.NOTHING:
            raise DocumentError(
                f'{kind} {name}: {key} is missing', step='read_entry'
            )
    return entry_class(
        **{
            key: _value_from_plain(kind, name, fields[key], value)
            for key, value in plain.items()
        }
    )


def _value_to_plain(value):
    if isinstance(value, address.Address):
        return str(value)
    return value


def _value_from_plain(kind, name, field, value):
    if field.type is address.Address:
        try:
            return address.parse_address(value)
        except address.AddressError as error:
            raise DocumentError(
                f'{kind} {name}: {field.name}: {error.reason}',
                step='read_entry',
            ) from None
    if type(value) is not field.type:
        raise DocumentError(
            f'{kind} {name}: {field.name} is {errors.shorten_repr(value)}, '
            f'not {field.type.__name__}',
            step='read_entry',
        )
    if field.type is int and not 0 <= value <= MAX_INTEGER:
        raise DocumentError(
            f'{kind} {name}: {field.name} is not from 0 to {MAX_INTEGER}',
            step='read_entry',
        )
    if field.type is str and not is_encodable_text(value):
        raise DocumentError(
            f'{kind} {name}: {field.name} is empty or not Unicode text',
            step='read_entry',
        )
    return value


def is_encodable_text(text):
    """Return whether a text is not empty and can be encoded as UTF-8.

    JSON text can contain an unpaired surrogate, which no codec can encode.
    """
    try:
        return bool(text.encode())
    except UnicodeEncodeError:
        return False


def is_revision(value):
    """Return whether a value is an integer in the range of revisions."""
    return type(value) is int and 0 <= value <= MAX_INTEGER


def is_digest(value):
    """Return whether a value is text no longer than a digest may be."""
    return (
        type(value) is str
        and len(value) <= MAX_DIGEST_LENGTH
        and is_encodable_text(value)
    )


def check_entries(entries):
    """Check that the entries of a fleet are consistent with each other.

    Args:
        entries: Entries by name, by kind.

    Raises:
        DocumentError: A backend server names an unknown service or has no
            slot or weight, or a name or an address is used twice.
    """
    for server in entries['backend_servers'].values():
        if server.service not in entries['services']:
            raise DocumentError(
                f'backend server {server.name!r} names the unknown '
                f'service {server.service!r}',
                step='check_entries',
            )
        if server.slots < 1 or server.weight < 1:
            raise DocumentError(
                f'backend server {server.name!r} needs at least one '
                f'slot and a weight of at least 1',
                step='check_entries',
            )
    duplicate_names = (
        entries['balancers'].keys() & entries['backend_servers'].keys()
    )
    if duplicate_names:
        raise DocumentError(
            f'{min(duplicate_names)!r} names a balancer and a backend server',
            step='check_entries',
        )
    _check_addresses(entries)


def _check_addresses(entries):
    address_uses = [(s.address, s.name) for s in entries['services'].values()]
    address_uses += [
        (b.address, b.name) for b in entries['balancers'].values()
    ]
    address_uses += [
        (a, b.name)
        for b in entries['backend_servers'].values()
        for a in (b.agent_address, b.server_address)
    ]
    names_by_address = {}
    for used_address, name in address_uses:
        if used_address in names_by_address:
            raise DocumentError(
                f'{name!r} and {names_by_address[used_address]!r} share '
                f'the address {used_address}',
                step='check_entries',
            )
        names_by_address[used_address] = name


def fleet_to_dict(fleet):
    """Return a Fleet as dicts, lists and scalars.

    An entry is a list of its field values in declaration order, because field
    names would make up two thirds of the published document.
    """
    plain = {
        kind: [
            list(entry_to_plain(entry).values())
            for entry in getattr(fleet, kind).values()
        ]
        for kind in ENTRY_CLASSES
    }
    return {'revision': fleet.revision, 'digest': fleet.digest, **plain}


def fleet_from_dict(plain):
    """Build a Fleet from the form that ``fleet_to_dict`` returns.

    Raises:
        DocumentError: The document is not a valid fleet.
    """
    if not isinstance(plain, dict):
        raise DocumentError('fleet is not a table', step='read_fleet')
    revision = plain.get('revision')
    digest = plain.get('digest')
    if not is_revision(revision) or not is_digest(digest):
        raise DocumentError(
            'fleet has no revision or digest', step='read_fleet'
        )
    if not 0 <= revision <= MAX_INTEGER:
        raise DocumentError(
            f'revision {revision} is not from 0 to {MAX_INTEGER}',
            step='read_fleet',
        )
    entries = {
        kind: _parse_entries(kind, plain.get(kind)) for kind in ENTRY_CLASSES
    }
    check_entries(entries)
    return fleet_module.Fleet(revision, digest, **entries)


def _parse_entries(kind, rows):
    if not isinstance(rows, list):
        raise DocumentError(f'fleet has no list {kind}', step='read_fleet')
    names = [field.name for field in attrs.fields(ENTRY_CLASSES[kind])]
    if any(not isinstance(r, list) or len(r) != len(names) for r in rows):
        raise DocumentError(
            f'a row of {kind} does not have {len(names)} fields',
            step='read_fleet',
        )
    entries = [
        entry_from_plain(kind, dict(zip(names, row, strict=True)))
        for row in rows
    ]
    by_name = {entry.name: entry for entry in entries}
    if len(by_name) != len(entries):
        raise DocumentError(f'{kind} names an entry twice', step='read_fleet')
    return by_name
