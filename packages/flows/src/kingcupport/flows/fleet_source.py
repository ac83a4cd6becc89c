"""Where the routes and the backend servers come from."""

import abc

import attrs

from kingcupport.common import errors


class SourceError(errors.KingcupportError):
    """The source did not answer or refused to."""

    code = 'source_unavailable'


class HistoryLostError(SourceError):
    """The source no longer has the changes after a revision."""

    code = 'source_history_lost'


@attrs.define
class FleetReading:
    """What one reading of the source returned.

    Args:
        revision: The reading is complete up to this revision.
        is_whole: Whether everything was read, not only changes.
        configuration: FlowConfiguration, or None when none was read.
        servers: FlowServer objects.
        removed: ``(name, revision)`` of the servers that were taken away.
        unusable_names: Names of entries that describe no server.
    """

    revision: int
    is_whole: bool
    configuration: object = None
    servers: list = attrs.field(factory=list)
    removed: list = attrs.field(factory=list)
    unusable_names: list = attrs.field(factory=list)


class FleetSource(abc.ABC):
    """Reads the routes and the backend servers."""

    @abc.abstractmethod
    def read_all(self):
        """Return a FleetReading of everything.

        Raises:
            SourceError: The source did not answer or refused to.
        """

    @abc.abstractmethod
    def read_changes(self, after_revision):
        """Return a FleetReading of the changes after a revision.

        Raises:
            HistoryLostError: The changes are no longer known; read all.
            SourceError: The source did not answer or refused to.
        """

    @abc.abstractmethod
    def close(self):
        """Close the connection to the source."""
