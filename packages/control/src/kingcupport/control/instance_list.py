"""Client for the platform's list of instances and their states."""

import abc
import enum

from kingcupport.common import errors
from kingcupport.control import http_reader

# 6,240 names with their states take about 200 KB.
MAX_LIST_BYTES = 1024 * 1024


class InstanceListError(errors.KingcupportError):
    """The instance list service did not return a valid response."""

    code = 'instance_list_unavailable'


class InstanceState(enum.StrEnum):
    """State of an instance as reported by the platform, with a delay."""

    LIVE = 'live'
    LEAVING = 'leaving'
    GONE = 'gone'
    # Not in the list, which does not tell whether the instance is running.
    UNKNOWN = 'unknown'


class InstanceList(abc.ABC):
    """Returns the states of instances as the platform reports them."""

    @abc.abstractmethod
    def states(self):
        """Return the InstanceState of each listed instance, by name.

        An absent name is ``InstanceState.UNKNOWN``.

        Raises:
            InstanceListError: No valid response.
        """


class _HttpInstanceList(InstanceList):
    def __init__(self, address):
        self._http = http_reader.HttpReader(address, InstanceListError)

    def states(self):
        _, document = self._http.get_json('/v1/instances', MAX_LIST_BYTES)
        listed = document.get('instances') if type(document) is dict else None
        if type(listed) is not dict:
            raise self._error('instances is not a JSON object')
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
