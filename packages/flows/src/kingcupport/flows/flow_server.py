"""A backend server that holds flows."""

import attrs


@attrs.define
class FlowServer:
    """A backend server as its own entry describes it.

    Args:
        name: Identifies the server; not used again after it has left.
        service: Name of its service.
        ip: Address of the instance that it and its agent run on.
        data_centre: Data centre of the instance.
        slots: Requests that it works on at the same time.
        is_draining: Whether it takes no new flows.
        boot_utc_ms: When it started, Unix milliseconds.
        is_cold: Whether it is slow, because it has just started.
        revision: Revision of the store at which the entry was written.
    """

    name: str
    service: str
    ip: str
    data_centre: str
    slots: int
    is_draining: bool
    boot_utc_ms: int
    is_cold: bool
    revision: int

    def differs_from(self, other):
        """Whether more than the revision differs from another entry."""
        return attrs.evolve(self, revision=other.revision) != other


def server_to_plain(server):
    """Return a server as a list that msgpack encodes."""
    return list(attrs.astuple(server))


_TYPES = (str, str, str, str, int, bool, int, bool, int)


def server_from_plain(plain):
    """Return the server of ``server_to_plain``.

    Raises:
        ValueError: The list has another shape.
    """
    if tuple(map(type, plain)) != _TYPES:
        raise ValueError('a server has fields of the wrong type')
    return FlowServer(*plain)
