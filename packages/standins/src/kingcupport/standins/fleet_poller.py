"""Polls the configuration service for the fleet."""

import logging

import gevent

from kingcupport.common import errors
from kingcupport.fleet import documents
from kingcupport.standins import json_client

LOG = logging.getLogger(__name__)

POLL_INTERVAL_MS = 500


class FleetPoller:
    """Reads the fleet periodically and reports each new revision.

    It replaces the means by which a real fabric learns its balancers.

    Args:
        configuration_address: Address of the configuration service.
        clock: Clock.
        on_fleet: Function called with each Fleet of a higher revision.
    """

    def __init__(self, configuration_address, clock, on_fleet):
        self._address = configuration_address
        self._clock = clock
        self._on_fleet = on_fleet
        self._revision = -1
        self._task = None

    def start(self):
        """Start polling in a background task."""
        self._task = gevent.spawn(self._poll)

    def stop(self):
        """Stop polling."""
        self._task.kill()

    def _poll(self):
        while True:
            try:
                self._read_fleet()
            except errors.KingcupportError as error:
                LOG.warning(
                    'fleet not read from configuration service, will retry',
                    extra={'reason': str(error)},
                )
            now_ms = self._clock.monotonic_ms()
            self._clock.sleep_until(now_ms + POLL_INTERVAL_MS)

    def _read_fleet(self):
        plain = json_client.call(self._address, 'GET', '/v1/fleet')
        fleet = documents.fleet_from_dict(plain)
        if fleet.revision > self._revision:
            self._on_fleet(fleet)
            self._revision = fleet.revision
