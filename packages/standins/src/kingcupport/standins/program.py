"""What the stand-ins' programs have in common."""

import signal

import gevent
from gevent import event

from kingcupport.common import address as address_module
from kingcupport.common import errors
from kingcupport.observability import log

EXIT_OK = 0
EXIT_BAD_SETTINGS = 2


class OptionError(errors.KingcupportError):
    """A command line option that cannot be used; programs exit with 2."""

    code = 'bad_option'


def read_address(command, name):
    """Return the Address given as an option.

    Raises:
        OptionError: The option is missing or no ``ip:port``.
    """
    text = command.option(name)
    if text is None:
        raise OptionError(f'--{name} is missing', step='read_options')
    return parse_option_address(name, text)


def parse_option_address(name, text):
    """Parse the ``ip:port`` of an option.

    Raises:
        OptionError: It is none.
    """
    try:
        return address_module.parse_address(text)
    except address_module.AddressError as error:
        raise OptionError(
            f'--{name}: {error.reason}; allowed: ip:port', step='read_options'
        ) from None


def read_number(command, name, number_type=int, minimum=0):
    """Return the number given as an option.

    Raises:
        OptionError: It is no number or less than the minimum.
    """
    text = command.option(name)
    try:
        number = number_type(text)
    except ValueError:
        number = None
    if number is None or number < minimum:
        raise OptionError(
            f'--{name} is {text!r}; allowed: a number of at least {minimum}',
            step='read_options',
        )
    return number


def run_until_terminated(*services):
    """Start services, wait for SIGTERM or SIGINT, and stop them.

    Args:
        services: Objects with ``start`` and ``stop``, in order of start.
    """
    log.configure_logging()
    terminated = event.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, terminated.set)
    for service in services:
        service.start()
    terminated.wait()
    for service in reversed(services):
        service.stop()
