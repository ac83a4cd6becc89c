"""IP address and port."""

import functools
import ipaddress

import attrs

from kingcupport.common import errors

MAX_PORT = 65535
# Checked first, because int() raises ValueError beyond 4,300 digits.
_MAX_PORT_DIGITS = 5


class AddressError(errors.KingcupportError):
    """Text that is not an IP address with a port."""

    code = 'bad_address'


@attrs.frozen(order=True)
class Address:
    """An IP address and a port; host names are not resolved.

    Args:
        ip: IPv4 or IPv6 address in text form.
        port: 1 to 65535.
    """

    ip: str
    port: int

    def __str__(self):
        """Return ``ip:port``, with brackets around an IPv6 address."""
        if ':' in self.ip:
            return f'[{self.ip}]:{self.port}'
        return f'{self.ip}:{self.port}'

    def as_tuple(self):
        """Return ``(ip, port)`` as sockets take it."""
        return (self.ip, self.port)


def parse_address(text):
    """Parse ``ip:port``.

    Args:
        text: For example ``10.0.0.7:9000`` or ``[::1]:9000``.

    Returns:
        The Address.

    Raises:
        AddressError: The text has no port, a host name instead of an IP
            address, or an invalid port number.
    """
    if not isinstance(text, str):
        raise AddressError(
            f'{errors.shorten_repr(text)} is not text', step='parse_address'
        )
    return _parse_address_text(text)


# Fleets repeat the same few thousand addresses.
@functools.lru_cache(maxsize=16384)
def _parse_address_text(text):
    ip, separator, port = text.rpartition(':')
    if not separator:
        raise AddressError(
            f'{errors.shorten_repr(text)} has no port', step='parse_address'
        )
    ip = ip.removeprefix('[').removesuffix(']')
    try:
        ipaddress.ip_address(ip)
    except ValueError:
        raise AddressError(
            f'{errors.shorten_repr(text)} does not start with an IP address',
            step='parse_address',
        ) from None
    if not port.isascii() or not port.isdigit():
        raise AddressError(
            f'{errors.shorten_repr(text)} has no numeric port',
            step='parse_address',
        )
    if len(port) > _MAX_PORT_DIGITS or not 1 <= int(port) <= MAX_PORT:
        raise AddressError(
            f'{errors.shorten_repr(text)} has a port outside 1 to {MAX_PORT}',
            step='parse_address',
        )
    return Address(ip, int(port))
