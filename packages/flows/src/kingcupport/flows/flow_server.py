"""Description of a backend server of forwarded flows."""

import attrs


@attrs.define
class FlowServer:
    """A backend server as registered in the store.

    Args:
        name: Unique name of the server; not reused after it has left.
        service: Name of its service.
        ip: Address of the instance that it and its agent run on.
        data_centre: Name of the data centre of the instance.
        slots: Number of requests that it processes at the same time.
        is_draining: Whether it accepts no new flows.
        boot_utc_ms: Start time in Unix milliseconds.
        is_cold: Whether it has just started and is still slow.
        sequence: Number of the entry, counted by the server since its start.
        revision: Qualified revision at which the store had this entry.
    """

    name: str
    service: str
    ip: str
    data_centre: str
    slots: int
    is_draining: bool
    boot_utc_ms: int
    is_cold: bool
    sequence: int
    revision: int

    @property
    def writing_order(self):
        """Order in which servers of this name wrote their entries."""
        return self.boot_utc_ms, self.sequence

    def differs_from(self, other):
        """Whether anything but the sequence or the revision differs."""
        same_write = attrs.evolve(
            self, sequence=other.sequence, revision=other.revision
        )
        return same_write != other


def contents_to_plain(server):
    """Return what ``differs_from`` compares as a list for msgpack."""
    *contents, _, _ = attrs.astuple(server)
    return contents


def server_to_plain(server):
    """Return a server as a list for msgpack."""
    return list(attrs.astuple(server))


_TYPES = (str, str, str, str, int, bool, int, bool, int, int)


def server_from_plain(plain):
    """Return the FlowServer of a ``server_to_plain`` list.

    Raises:
        ValueError: The list has another shape.
    """
    if tuple(map(type, plain)) != _TYPES:
        raise ValueError('server entry has a missing or mistyped field')
    return FlowServer(*plain)
