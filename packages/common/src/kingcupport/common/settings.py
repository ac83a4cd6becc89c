"""Loads a TOML settings file into a validated attrs class."""

import pathlib
import tomllib
import types
import typing

import attrs

from kingcupport.common import address
from kingcupport.common import errors

_UNIT_SUFFIXES = ('_ms', '_bytes', '_percent', '_per_s', '_count')
_TYPE_NAMES = {int: 'a whole number', str: 'text', bool: 'true or false'}


class SettingsError(errors.KingcupportError):
    """A settings file that cannot be used; programs exit with code 2.

    Args:
        file: Path of the settings file.
        key: Dotted key, empty when the whole file is unusable.
        reason: Why the value is invalid.
        allowed: Description of the values that the key accepts.
    """

    code = 'bad_settings'

    def __init__(self, file, key, reason, allowed):
        super().__init__(reason, step='load_settings')
        self.file = file
        self.key = key
        self.allowed = allowed

    def __str__(self):
        """Return file, key, reason and allowed values on one line."""
        key = self.key or '(file)'
        return f'{self.file}: {key}: {self.reason}; allowed: {self.allowed}'


def setting(
    default=attrs.NOTHING, *, minimum=None, maximum=None, choices=None
):
    """Declare a validated field of a settings class.

    Args:
        default: Value for an absent key; without a default the key is
            required.
        minimum: Smallest allowed number.
        maximum: Largest allowed number.
        choices: Allowed values.

    Returns:
        An attrs field.
    """
    return attrs.field(
        default=default,
        metadata={'minimum': minimum, 'maximum': maximum, 'choices': choices},
    )


def load_settings(path, settings_class):
    """Load a TOML file into an attrs class and validate every key.

    Args:
        path: Path of the file.
        settings_class: attrs class whose fields are int, str, bool,
            ``Address``, ``tuple[X, ...]``, ``X | None`` or further attrs
            classes for tables.

    Returns:
        An instance of the class.

    Raises:
        SettingsError: Unreadable file, invalid TOML, unknown or missing key,
            wrong type, bad address, missing unit or value out of range.
    """
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
        table = tomllib.loads(text)
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(
            path, '', f'cannot be read: {error}', 'a readable UTF-8 file'
        ) from None
    except tomllib.TOMLDecodeError as error:
        raise SettingsError(
            path, '', f'is not TOML: {error}', 'TOML 1.0'
        ) from None
    return _parse_table(path, '', table, settings_class)


def _parse_table(path, prefix, table, settings_class):
    attrs.resolve_types(settings_class)
    fields = attrs.fields_dict(settings_class)
    for key in table:
        if key not in fields:
            raise _unknown_key_error(path, prefix + key, key, fields)
    values = {
        name: _parse_value(path, prefix + name, table[name], field)
        for name, field in fields.items()
        if name in table
    }
    for name, field in fields.items():
        if name not in table and field.default is attrs.NOTHING:
            raise SettingsError(
                path, prefix + name, 'is missing', _describe_allowed(field)
            )
    return settings_class(**values)


def _unknown_key_error(path, dotted_key, key, fields):
    keys_with_unit = [key + s for s in _UNIT_SUFFIXES if key + s in fields]
    if keys_with_unit:
        return SettingsError(
            path, dotted_key, 'has no unit', f'the key {keys_with_unit[0]}'
        )
    return SettingsError(
        path, dotted_key, 'unknown key', ', '.join(sorted(fields))
    )


def _parse_value(path, key, value, field):
    expected = _strip_optional(field.type)
    if _is_table(expected):
        if not isinstance(value, dict):
            raise SettingsError(path, key, 'is not a table', 'a table')
        return _parse_table(path, f'{key}.', value, expected)
    if typing.get_origin(expected) is tuple:
        if not isinstance(value, list):
            raise SettingsError(
                path, key, 'is not a list', _describe_allowed(field)
            )
        item_type = typing.get_args(expected)[0]
        return tuple(
            _parse_scalar(path, f'{key}[{i}]', item, item_type, field)
            for i, item in enumerate(value)
        )
    return _parse_scalar(path, key, value, expected, field)


def _parse_scalar(path, key, value, expected, field):
    if expected is address.Address:
        try:
            return address.parse_address(value)
        except address.AddressError as error:
            raise SettingsError(
                path, key, error.reason, 'ip:port, for example 10.0.0.7:9000'
            ) from None
    # bool is a subclass of int, so the exact type is compared.
    if type(value) is not expected:
        raise SettingsError(
            path,
            key,
            f'{value!r} has the wrong type',
            _describe_allowed(field),
        )
    _check_range(path, key, value, field)
    return value


def _check_range(path, key, value, field):
    minimum = field.metadata.get('minimum')
    maximum = field.metadata.get('maximum')
    choices = field.metadata.get('choices')
    too_small = minimum is not None and value < minimum
    too_large = maximum is not None and value > maximum
    not_a_choice = choices is not None and value not in choices
    if too_small or too_large or not_a_choice:
        raise SettingsError(
            path, key, f'{value!r} is out of range', _describe_allowed(field)
        )


def _is_table(expected):
    return attrs.has(expected) and expected is not address.Address


def _strip_optional(annotation):
    if isinstance(annotation, types.UnionType):
        return next(
            t for t in typing.get_args(annotation) if t is not type(None)
        )
    return annotation


def _describe_allowed(field):
    expected = _strip_optional(field.type)
    if expected is address.Address:
        return 'ip:port, for example 10.0.0.7:9000'
    if _is_table(expected):
        return 'a table'
    if typing.get_origin(expected) is tuple:
        return 'a list'
    choices = field.metadata.get('choices')
    if choices is not None:
        return 'one of ' + ', '.join(str(c) for c in choices)
    minimum = field.metadata.get('minimum')
    maximum = field.metadata.get('maximum')
    name = _TYPE_NAMES.get(expected, expected.__name__)
    if minimum is not None and maximum is not None:
        return f'{name} from {minimum} to {maximum}'
    if minimum is not None:
        return f'{name} of at least {minimum}'
    return name
