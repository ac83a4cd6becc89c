"""Option parsing and main loop of the stand-in programs."""

import signal

import gevent
from gevent import event

from kingcupport.common import address as address_module
from kingcupport.common import errors
from kingcupport.observability import log

EXIT_OK = 0
EXIT_BAD_SETTINGS = 2


class OptionError(errors.KingcupportError):
    """A command line option is missing or invalid; the exit code is 2."""

    code = 'bad_option'


def read_address(command, name):
    """Return the Address in an option.

    Raises:
        OptionError: The option is missing or not ``ip:port``.
    """
    text = command.option(name)
    if text is None:
        raise OptionError(f'--{name} is missing', step='read_options')
    return parse_option_address(name, text)


def parse_option_address(name, text):
    """Return the Address in an option's text.

    Raises:
        OptionError: The text is not ``ip:port``.
    """
    try:
        return address_module.parse_address(text)
    except address_module.AddressError as error:
        raise OptionError(
            f'--{name}: {error.reason}; allowed: ip:port', step='read_options'
        ) from None


def read_number(command, name, number_type=int, minimum=0):
    """Return the number in an option.

    Raises:
        OptionError: The option is not a number or below the minimum.
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
    """Start services, wait for SIGTERM or SIGINT, and stop the services.

    Args:
        services: Objects with ``start`` and ``stop``, in start order; they
            are stopped in reverse order.
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
