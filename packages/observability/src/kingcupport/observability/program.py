"""Runs a daemon from a settings file until a signal stops it."""

import argparse
import logging
import signal
import sys

import gevent
from gevent import event

from kingcupport.common import settings as settings_module
from kingcupport.observability import log

LOG = logging.getLogger(__name__)

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_BAD_SETTINGS = 2


def run(program, settings_class, make_daemon, arguments):
    """Run a daemon until SIGTERM or SIGINT, or until it finishes.

    The daemon is drained before it is stopped.

    Args:
        program: Name of the program.
        settings_class: attrs class of its settings, with a field ``log``.
        make_daemon: Called with the settings; returns an object with
            ``start``, ``start_drain(reason)``, ``wait_drained``, ``stop`` and
            the event ``finished``.
        arguments: Command line arguments without the program's name.

    Returns:
        The exit code.
    """
    parser = argparse.ArgumentParser(prog=program)
    parser.add_argument('--settings', required=True, help='TOML file')
    options = parser.parse_args(arguments)
    try:
        settings = settings_module.load_settings(
            options.settings, settings_class
        )
    except settings_module.SettingsError as error:
        print(f'{program}: {error}', file=sys.stderr)
        return EXIT_BAD_SETTINGS
    log.configure_logging(settings.log)
    try:
        daemon = make_daemon(settings)
        daemon.start()
    except OSError as error:
        LOG.error('startup failed; exiting', extra={'reason': str(error)})
        return EXIT_FAILED
    _wait_for_stop(daemon.finished)
    daemon.start_drain('signal')
    daemon.wait_drained()
    daemon.stop()
    LOG.info('stopped', extra={'program': program})
    return EXIT_OK


def _wait_for_stop(finished):
    stop_requested = event.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, stop_requested.set)
    gevent.wait([stop_requested, finished], count=1)
