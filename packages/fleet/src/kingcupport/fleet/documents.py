"""Plain forms of fleets and release notes for msgpack, JSON and TOML."""

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

# msgpack encodes integers of at most 64 bits; a greater one would be accepted
# and then fail in every message that carries it.
MAX_INTEGER = 2**63 - 1


class DocumentError(errors.KingcupportError):
    """A document that does not describe a fleet or a release note."""

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
    name = plain.get('name', '?')
    for key in plain:
        if key not in fields:
            raise DocumentError(
                f'{kind} {name!r}: unknown field {key!r}', step='read_entry'
            )
    for key, field in fields.items():
        if key not in plain and field.default is attrs.NOTHING:
            raise DocumentError(
                f'{kind} {name!r}: {key} is missing', step='read_entry'
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
                f'{kind} {name!r}: {field.name}: {error.reason}',
                step='read_entry',
            ) from None
    if type(value) is not field.type:
        raise DocumentError(
            f'{kind} {name!r}: {field.name} is {value!r}, '
            f'not {field.type.__name__}',
            step='read_entry',
        )
    if field.type is int and not 0 <= value <= MAX_INTEGER:
        raise DocumentError(
            f'{kind} {name!r}: {field.name} is {value}, not from 0 to '
            f'{MAX_INTEGER}',
            step='read_entry',
        )
    if value == '':
        raise DocumentError(
            f'{kind} {name!r}: {field.name} is empty', step='read_entry'
        )
    return value


def fleet_to_plain(fleet):
    """Return a Fleet as dicts, lists and scalars.

    Entries are arrays of their fields in declaration order, because field
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


def fleet_from_plain(plain):
    """Build a Fleet from the form that ``fleet_to_plain`` returns.

    Raises:
        DocumentError: The form is not that of a fleet.
    """
    if not isinstance(plain, dict):
        raise DocumentError('fleet is not a table', step='read_fleet')
    revision = plain.get('revision')
    digest = plain.get('digest')
    if type(revision) is not int or type(digest) is not str:
        raise DocumentError(
            'fleet has no revision or digest', step='read_fleet'
        )
    if not 0 <= revision <= MAX_INTEGER:
        raise DocumentError(
            f'revision {revision} is not from 0 to {MAX_INTEGER}',
            step='read_fleet',
        )
    entries = {
        kind: _entries_from_rows(kind, plain.get(kind))
        for kind in ENTRY_CLASSES
    }
    for member in entries['backend_servers'].values():
        if member.service not in entries['services']:
            raise DocumentError(
                f'backend server {member.name!r} names the unknown service '
                f'{member.service!r}',
                step='read_fleet',
            )
    return fleet_module.Fleet(revision, digest, **entries)


def _entries_from_rows(kind, rows):
    if not isinstance(rows, list):
        raise DocumentError(f'fleet has no list {kind}', step='read_fleet')
    names = [field.name for field in attrs.fields(ENTRY_CLASSES[kind])]
    if any(not isinstance(r, list) or len(r) != len(names) for r in rows):
        raise DocumentError(
            f'a row of {kind} does not have {len(names)} fields',
            step='read_fleet',
        )
    entries = (
        entry_from_plain(kind, dict(zip(names, row, strict=True)))
        for row in rows
    )
    return {entry.name: entry for entry in entries}
