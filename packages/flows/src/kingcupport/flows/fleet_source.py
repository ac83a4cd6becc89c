"""Interface of the store that holds the routes and the backend servers."""

import abc

import attrs

from kingcupport.common import errors


class SourceError(errors.KingcupportError):
    """The source did not answer or refused the call."""

    code = 'source_unavailable'


class HistoryLostError(SourceError):
    """The source no longer has the changes since a revision."""

    code = 'source_history_lost'


class FormerEraError(SourceError):
    """A response is from before a restore of the source."""

    code = 'source_former_era'


@attrs.define
class FleetUpdate:
    """The result of one read from the source.

    Args:
        revision: Qualified revision up to which the result is complete.
        is_full_read: Whether all entries were read, not only changes.
        configuration: FlowConfiguration, or None if none was read.
        servers: FlowServer objects.
        removed: Names of the removed servers, each with the qualified
            revision of its removal.
        invalid: Names of the entries that are no valid server, each with its
            qualified revision.
        evacuations: For each entry of an evacuation the name of the data
            centre, whether it is evacuated and the qualified revision.
        rejected_evacuations: Names of the evacuations that are not valid,
            each with the reason.
    """

    revision: int
    is_full_read: bool
    configuration: object = None
    servers: list = attrs.field(factory=list)
    removed: list = attrs.field(factory=list)
    invalid: list = attrs.field(factory=list)
    evacuations: list = attrs.field(factory=list)
    rejected_evacuations: list = attrs.field(factory=list)


class FleetSource(abc.ABC):
    """Reads the routes and the backend servers from a store."""

    @abc.abstractmethod
    def read_all(self):
        """Return a FleetUpdate of all entries.

        Raises:
            HistoryLostError: The source was restored during the read.
            SourceError: The source did not answer or refused the call.
        """

    @abc.abstractmethod
    def read_changes(self, after_revision):
        """Return a FleetUpdate of the changes since a revision.

        Args:
            after_revision: Qualified revision up to which the caller is up to
                date.

        Raises:
            HistoryLostError: The source no longer has these changes, or has
                been restored since; the caller has to read all entries.
            SourceError: The source did not answer or refused the call.
        """

    @abc.abstractmethod
    def close(self):
        """Close the connection to the source."""
