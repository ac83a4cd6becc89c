"""Datagrams between the balancers and agents that forward flows.

Every datagram is a msgpack array that starts with the protocol version and a
code. Datagrams that carry a packet are followed by its bytes, so that a
packet is never encoded again.
"""

import enum

import attrs
import msgpack

from kingcupport.common import errors as common_errors
from kingcupport.wire import errors

FLOW_DATAGRAM_VERSION = 1

_classes_by_code = {}


class DeclineReason(enum.IntEnum):
    """Why an agent gives a packet back."""

    # The server has no free slot, and the balancer asked for one.
    BUSY = 1
    # The server does not accept flows or does not answer.
    UNAVAILABLE = 2
    # The server does not hold the flow.
    NOT_HELD = 3
    # The server held the flow and has lost it.
    ENDED = 4
    # The server belongs to another service.
    OTHER_SERVICE = 5


class Holding(enum.IntEnum):
    """What an agent knows of a flow."""

    NO = 0
    YES = 1
    # The agent started after its server and has not seen the flow yet.
    UNKNOWN = 2


def _datagram(code):
    def register(datagram_class):
        datagram_class.datagram_code = code
        _classes_by_code[code] = datagram_class
        return datagram_class

    return register


@_datagram(1)
@attrs.define
class FlowEnvelope:
    """A client's packet on its way to an agent.

    Args:
        service: Name of the service that it was routed for.
        slot_limit: The agent gives an opening packet back when its server
            works on so many requests already; 0 for no limit.
        packet_data: Bytes of the packet.
    """

    service: str
    slot_limit: int
    packet_data: bytes = b''


@_datagram(2)
@attrs.define
class FlowDecline:
    """A packet that an agent gives back to its balancer.

    Args:
        reason: A DeclineReason value.
        packet_data: Bytes of the packet, as the client sent it.
    """

    reason: int
    packet_data: bytes = b''


@_datagram(3)
@attrs.define
class FlowQuery:
    """Asks an agent whether its server holds a flow.

    Args:
        flow: The flow.
        acknowledged: What the client's packet acknowledges; it tells the
            server that the client talks to from one whose answer to the
            opening packet was not used.
    """

    flow: bytes
    acknowledged: int


@_datagram(4)
@attrs.define
class FlowStatus:
    """Tells a balancer what an agent knows of a flow.

    Args:
        flow: The flow.
        holding: A Holding value.
    """

    flow: bytes
    holding: int


@_datagram(5)
@attrs.define
class LoadReport:
    """The work in progress of an agent's server.

    Args:
        boot: Random number of the agent process.
        sequence: Number of the report within the boot.
        service: Name of the server's service.
        running: Requests that the server has not answered yet.
        oldest_age_ms: How long the oldest of them has been running.
        failing_percent: Share of the latest answers that were failures.
        is_leaving: Whether the agent is about to stop.
        is_silent: Whether the server has stopped answering.
        is_exact: Whether the receiver gets a report of each change.
    """

    boot: int
    sequence: int
    service: str
    running: int
    oldest_age_ms: int
    failing_percent: int
    is_leaving: bool
    is_silent: bool
    is_exact: bool


@_datagram(6)
@attrs.define
class AgentGreeting:
    """Asks an agent to send its load reports to the sender.

    Args:
        balancer_name: Name of the balancer.
        interval_ms: When the next greeting comes.
    """

    balancer_name: str
    interval_ms: int


@_datagram(7)
@attrs.define
class BalancerGreeting:
    """What a balancer knows, for the other balancers.

    Args:
        name: Name of the sender.
        configuration_version: Version that it has in force, 0 without one.
        content_revision: Revision of the last change of a server.
        read_revision: Revision of the store that the view is complete to.
        confirmed_age_ms: How long ago the store confirmed the view; -1 when
            it never did.
        is_reading: Whether the sender's last call to the store succeeded.
        is_leaving: Whether the sender is about to stop.
        wants_reply: Whether the receiver is to answer.
        peer_ips: Addresses of further balancers.
    """

    name: str
    configuration_version: int
    content_revision: int
    read_revision: int
    confirmed_age_ms: int
    is_reading: bool
    is_leaving: bool
    wants_reply: bool
    peer_ips: list


def _fields_of(datagram_class):
    return [
        field
        for field in attrs.fields(datagram_class)
        if field.name != 'packet_data'
    ]


def _index_fields():
    return {
        code: [(field.name, field.type) for field in _fields_of(class_)]
        for code, class_ in _classes_by_code.items()
    }


_fields_by_code = _index_fields()


def encode(datagram):
    """Return the bytes of a datagram of this module."""
    code = datagram.datagram_code
    header = msgpack.packb(
        [
            FLOW_DATAGRAM_VERSION,
            code,
            *[getattr(datagram, name) for name, _ in _fields_by_code[code]],
        ]
    )
    return header + getattr(datagram, 'packet_data', b'')


def decode(data):
    """Decode one datagram of this module.

    Raises:
        WireError: The bytes are none of them.
    """
    unpacker = msgpack.Unpacker(max_buffer_size=len(data) + 1)
    unpacker.feed(data)
    try:
        array = unpacker.unpack()
    except (ValueError, msgpack.UnpackException, RecursionError) as error:
        raise _error(f'is not msgpack: {error}') from None
    if not isinstance(array, list) or len(array) < 2:
        raise _error('is not an array with version and code')
    version, code, *values = array
    if version != FLOW_DATAGRAM_VERSION:
        raise _error(f'version {common_errors.shown(version)} is unknown')
    datagram_class = _classes_by_code.get(code) if type(code) is int else None
    if datagram_class is None:
        raise _error(f'code {common_errors.shown(code)} is unknown')
    types = [type_ for _, type_ in _fields_by_code[code]]
    if [type(value) for value in values] != types:
        raise _error(f'code {code} has fields of the wrong type')
    datagram = datagram_class(*values)
    if hasattr(datagram, 'packet_data'):
        datagram.packet_data = data[unpacker.tell() :]
    return datagram


def _error(reason):
    return errors.WireError(reason, step='decode_flow_datagram')
