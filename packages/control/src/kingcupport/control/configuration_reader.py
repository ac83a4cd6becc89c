"""Reads release notes from the platform's configuration service."""

import abc

import attrs

from kingcupport.common import errors
from kingcupport.control import http_reader

# The service limits a value to this size.
MAX_FLEET_BYTES = 1024 * 1024
# For 64 notes; a note that adds a whole data centre is about 100 KB.
MAX_NOTES_BYTES = 4 * 1024 * 1024
MAX_NOTES = 64
_GONE = 410


class ConfigurationError(errors.KingcupportError):
    """The configuration service did not return a valid response."""

    code = 'configuration_unavailable'


@attrs.frozen
class ConfigurationReading:
    """Result of one read, in plain form.

    Args:
        notes: Plain release notes with a higher revision, in order.
        fleet: The plain fleet, or None when the service returned notes.
    """

    notes: tuple = ()
    fleet: dict | None = None


class ConfigurationReader(abc.ABC):
    """Reads the published release notes and the fleet."""

    @abc.abstractmethod
    def read(self, after_revision):
        """Return the notes after a revision, or the whole fleet.

        Args:
            after_revision: Revision in force at the caller.

        Returns:
            A ConfigurationReading.

        Raises:
            ConfigurationError: No valid response.
        """

    @abc.abstractmethod
    def read_fleet(self):
        """Return a ConfigurationReading of the whole fleet.

        Raises:
            ConfigurationError: No valid response.
        """


class _HttpConfigurationReader(ConfigurationReader):
    def __init__(self, address):
        self._http = http_reader.HttpReader(address, ConfigurationError)

    def read(self, after_revision):
        status, notes = self._http.get_json(
            f'/v1/notes?after={after_revision}',
            MAX_NOTES_BYTES,
            other_allowed_statuses=(_GONE,),
        )
        if status == _GONE:
            return self.read_fleet()
        if not isinstance(notes, list) or len(notes) > MAX_NOTES:
            raise ConfigurationError(
                f'notes are not a list of at most {MAX_NOTES} notes',
                step='read_notes',
                peer=self._http.peer,
            )
        return ConfigurationReading(notes=tuple(notes))

    def read_fleet(self):
        _, fleet = self._http.get_json('/v1/fleet', MAX_FLEET_BYTES)
        if not isinstance(fleet, dict):
            raise ConfigurationError(
                'fleet is not a JSON object',
                step='read_fleet',
                peer=self._http.peer,
            )
        return ConfigurationReading(fleet=fleet)


def make_http_configuration_reader(address):
    """Return a ConfigurationReader over HTTP.

    Args:
        address: Address of the configuration service.
    """
    return _HttpConfigurationReader(address)
