"""Reads the platform's list of live and leaving instances."""

import abc
import enum

from kingcupport.common import errors
from kingcupport.control import http_reader

# 6,240 names with their state take about 200 KB.
MAX_LIST_BYTES = 1024 * 1024


class InstanceListError(errors.KingcupportError):
    """The instance list did not give a usable answer."""

    code = 'instance_list_unavailable'


class InstanceState(enum.StrEnum):
    """State of an instance as the platform reports it; it lags."""

    LIVE = 'live'
    LEAVING = 'leaving'
    GONE = 'gone'
    # The list does not name it, which says nothing about the instance.
    UNKNOWN = 'unknown'


class InstanceList(abc.ABC):
    """Tells which instances the platform takes for live."""

    @abc.abstractmethod
    def states(self):
        """Return the InstanceState of each listed instance, by name.

        An absent name is ``InstanceState.UNKNOWN``.

        Raises:
            InstanceListError: No usable answer.
        """


class _HttpInstanceList(InstanceList):
    def __init__(self, address):
        self._http = http_reader.HttpReader(address, InstanceListError)

    def states(self):
        _, document = self._http.get_json('/v1/instances', MAX_LIST_BYTES)
        listed = document.get('instances') if type(document) is dict else None
        if type(listed) is not dict:
            raise self._error('instances is not an object')
        try:
            return {name: InstanceState(s) for name, s in listed.items()}
        except ValueError as error:
            raise self._error(str(error)) from None

    def _error(self, reason):
        return InstanceListError(
            reason, step='read_instances', peer=self._http.peer
        )


def make_http_instance_list(address):
    """Return an InstanceList over HTTP.

    Args:
        address: Address of the platform's instance list.
    """
    return _HttpInstanceList(address)
