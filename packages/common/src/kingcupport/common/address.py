"""IP address and port."""

import functools
import ipaddress

import attrs

from kingcupport.common import errors

MAX_PORT = 65535


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


@functools.lru_cache(maxsize=16384)
def parse_address(text):
    """Parse ``ip:port``.

    Args:
        text: For example ``10.0.0.7:9000`` or ``[::1]:9000``.

    Returns:
        The Address.

    Raises:
        AddressError: The text has no port, a host name or a bad number.
    """
    if not isinstance(text, str):
        raise AddressError(f'{text!r} is not text', step='parse_address')
    ip, separator, port = text.rpartition(':')
    if not separator:
        raise AddressError(f'{text!r} has no port', step='parse_address')
    ip = ip.removeprefix('[').removesuffix(']')
    try:
        ipaddress.ip_address(ip)
    except ValueError:
        raise AddressError(
            f'{text!r} does not start with an IP address', step='parse_address'
        ) from None
    if not port.isascii() or not port.isdigit():
        raise AddressError(
            f'{text!r} has no numeric port', step='parse_address'
        )
    if not 1 <= int(port) <= MAX_PORT:
        raise AddressError(
            f'{text!r} has a port outside 1 to {MAX_PORT}',
            step='parse_address',
        )
    return Address(ip, int(port))
