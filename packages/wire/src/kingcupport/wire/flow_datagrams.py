"""Datagrams between the balancers and agents that forward flows.

Every datagram is a msgpack array that starts with the protocol version and a
code. In datagrams that carry a packet, the array is followed by the unchanged
bytes of the packet, so that a packet is never encoded again.
"""

import enum
import itertools
import operator

import attrs
import msgpack

from kingcupport.common import errors as common_errors
from kingcupport.wire import errors

FLOW_DATAGRAM_VERSION = 1

_classes_by_code = {}


class DeclineReason(enum.IntEnum):
    """Why an agent returns a packet to its balancer."""

    # The server runs as many requests as the envelope's slot limit allows.
    BUSY = 1
    # The server does not accept new flows or does not respond.
    UNAVAILABLE = 2
    # The server does not hold the flow.
    NOT_HELD = 3
    # The server held the flow and no longer does.
    ENDED = 4
    # The server belongs to another service.
    OTHER_SERVICE = 5
    # The server is cold and got as many opening packets as it can take.
    PACED = 6


class Holding(enum.IntEnum):
    """Whether an agent's server holds a flow, as far as the agent knows."""

    NO = 0
    YES = 1
    # The agent started after its server and has not seen the flow yet.
    UNKNOWN = 2


def _register_datagram(code):
    def register(datagram_class):
        datagram_class.datagram_code = code
        _classes_by_code[code] = datagram_class
        return datagram_class

    return register


@_register_datagram(1)
@attrs.define
class FlowEnvelope:
    """Carries a client's packet to an agent.

    Args:
        service: Name of the service that the packet is addressed to.
        slot_limit: The agent returns an opening packet when its server
            already runs this many requests; 0 for no limit.
        packet_data: Bytes of the packet.
    """

    service: str
    slot_limit: int
    packet_data: bytes = b''


@_register_datagram(2)
@attrs.define
class FlowDecline:
    """Returns a packet from an agent to its balancer.

    Args:
        reason: A DeclineReason value.
        packet_data: Bytes of the packet, as the client sent it.
    """

    reason: int
    packet_data: bytes = b''


@_register_datagram(3)
@attrs.define
class FlowQuery:
    """Asks an agent whether its server holds a flow.

    Args:
        flow: The flow.
        acknowledged: Sequence number that the client's packet acknowledges.
            It distinguishes the server that the client communicates with
            from one whose answer to the opening packet was discarded.
    """

    flow: bytes
    acknowledged: int


@_register_datagram(4)
@attrs.define
class FlowStatus:
    """Tells a balancer whether an agent's server holds a flow.

    Args:
        flow: The flow.
        holding: A Holding value.
    """

    flow: bytes
    holding: int


@_register_datagram(5)
@attrs.define
class LoadReport:
    """Reports the work in progress on an agent's server.

    Args:
        boot: Random number that identifies the agent process.
        sequence: Number of the report within that process.
        service: Name of the server's service.
        running: Number of requests that the server has not answered yet.
        oldest_age_ms: How long the oldest of them has been running.
        failing_percent: Share of the most recent answers that were
            failures.
        is_leaving: Whether the agent is about to stop.
        is_silent: Whether the server has stopped answering.
        is_exact: Whether the receiver is sent a report on every change.
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


@_register_datagram(6)
@attrs.define
class AgentGreeting:
    """Subscribes the sender to the load reports of an agent.

    Args:
        balancer_name: Name of the balancer.
        interval_ms: Time until the next greeting.
    """

    balancer_name: str
    interval_ms: int


# Codes 7 and 11 were greetings that did not show whether views are equal.
@_register_datagram(12)
@attrs.define
class BalancerGreeting:
    """Advertises the state of a balancer to the other balancers.

    Args:
        name: Name of the sender.
        configuration_version: Version in force at the sender, 0
            without one.
        content_revision: Qualified revision of the last change of a server.
        content_digest: Hash of the servers in the view.
        read_revision: Qualified revision up to which the view is complete.
        confirmed_age_ms: How long ago the store confirmed the view; -1 if
            it never did.
        is_complete: Whether a view with the same contents then listed every
            server that may hold flows.
        is_reading: Whether the sender's last call to the store succeeded.
        is_leaving: Whether the sender is about to stop.
        wants_reply: Whether the receiver has to answer with its own.
        sent_ms: When it was sent, on the sender's monotonic clock.
        echo_ms: ``sent_ms`` of the greeting that it answers; -1 if none.
        peer_ips: Addresses of further balancers.
    """

    name: str
    configuration_version: int
    content_revision: int
    content_digest: int
    read_revision: int
    confirmed_age_ms: int
    is_complete: bool
    is_reading: bool
    is_leaving: bool
    wants_reply: bool
    sent_ms: int
    echo_ms: int
    peer_ips: list


@_register_datagram(8)
@attrs.define
class FlowProbe:
    """Carries a client's packet to a server that may hold its flow.

    The agent answers with a FlowStatus: at once if it knows whether its server
    holds the flow, else when the server has accepted or returned the packet.

    Args:
        packet_data: Bytes of the packet.
    """

    packet_data: bytes = b''


@_register_datagram(9)
@attrs.define
class FlowSearch:
    """Asks an agent to find out which agent's server holds a flow.

    Args:
        number: Number of the search at the sender.
        agent_ips: Addresses of the agents to probe.
        packet_data: Bytes of a packet of the flow.
    """

    number: int
    agent_ips: list
    packet_data: bytes = b''


@_register_datagram(10)
@attrs.define
class FlowSearchResult:
    """Answers a FlowSearch.

    Args:
        flow: The flow.
        number: Number of the search at the receiver.
        holder_ip: Address of the agent whose server holds the flow; empty if
            none of those that have answered does.
        unanswered_ips: Addresses of the agents that have not answered.
    """

    flow: bytes
    number: int
    holder_ip: str
    unanswered_ips: list


@_register_datagram(14)
@attrs.define
class PaceReport:
    """Reports how fast an agent's server answers.

    Args:
        boot: Random number that identifies the agent process.
        sequence: Number of the report within that process.
        service_time_ms: Median time from a request to the head of its answer.
        samples: Number of answers that it was derived from.
        openings_allowed: Number of requests that the server may have at a
            time; 0 for single attempts, -1 for no limit.
    """

    boot: int
    sequence: int
    service_time_ms: float
    samples: int
    openings_allowed: int


@_register_datagram(13)
@attrs.define
class PacedEnvelope:
    """Carries an opening packet to the agent of a cold server with a limit.

    Args:
        service: Name of the service that the packet is addressed to.
        slot_limit: As in FlowEnvelope.
        openings_per_s: Opening packets a second that the server can take.
        remaining_cold_ms: How long the server is still cold.
        packet_data: Bytes of the packet.
    """

    service: str
    slot_limit: int
    openings_per_s: float
    remaining_cold_ms: int
    packet_data: bytes = b''


@_register_datagram(15)
@attrs.define
class FlowProbeBatch:
    """Carries what several FlowProbe datagrams to one agent would.

    The agent answers with FlowStatusBatch datagrams. The first one comes soon,
    with the answers known by then, even if there are none. Agents of former
    revisions ignore the code.

    Args:
        sizes: Number of bytes of each packet.
        packet_data: Bytes of the packets, in this order.
    """

    sizes: list
    packet_data: bytes = b''

    def packets(self):
        """Return the bytes of each packet.

        Raises:
            WireError: The sizes do not match the bytes.
        """
        if not all(
            type(size) is int and size > 0 for size in self.sizes
        ) or sum(self.sizes) != len(self.packet_data):
            raise _datagram_error('sizes of the packets do not match them')
        ends = itertools.accumulate(self.sizes)
        return [
            self.packet_data[end - size : end]
            for size, end in zip(self.sizes, ends, strict=True)
        ]


@_register_datagram(16)
@attrs.define
class FlowStatusBatch:
    """Carries what several FlowStatus datagrams to one agent would.

    Args:
        answers: Lists of a flow and a Holding value.
    """

    answers: list

    def statuses(self):
        """Return the FlowStatus of each well-formed answer."""
        return [
            FlowStatus(*answer)
            for answer in self.answers
            if isinstance(answer, list)
            and [type(value) for value in answer] == [bytes, int]
        ]


def _header_fields(datagram_class):
    return [
        field
        for field in attrs.fields(datagram_class)
        if field.name != 'packet_data'
    ]


@attrs.frozen
class _DatagramFormat:
    """How the datagrams with one code are read and written.

    Args:
        datagram_class: Class of the datagrams.
        read_values: Returns the header values of a datagram as a tuple.
        types: Types of the header values, in order.
        carries_packet: Whether the array is followed by a packet.
    """

    datagram_class: type
    read_values: object
    types: list
    carries_packet: bool


def _make_format(datagram_class):
    fields = _header_fields(datagram_class)
    names = [field.name for field in fields]
    if len(names) > 1:
        read_values = operator.attrgetter(*names)
    else:
        # attrgetter returns a single value without a tuple.
        def read_values(datagram):
            return tuple(getattr(datagram, name) for name in names)

    return _DatagramFormat(
        datagram_class,
        read_values,
        [field.type for field in fields],
        hasattr(datagram_class, 'packet_data'),
    )


_formats_by_code = {
    code: _make_format(class_) for code, class_ in _classes_by_code.items()
}


def encode(datagram):
    """Return the bytes of a datagram of this module."""
    code = datagram.datagram_code
    format_ = _formats_by_code[code]
    header = msgpack.packb(
        (FLOW_DATAGRAM_VERSION, code, *format_.read_values(datagram))
    )
    return header + datagram.packet_data if format_.carries_packet else header


def decode(data):
    """Decode one datagram of this module.

    Raises:
        WireError: The bytes are not a valid datagram of this module.
    """
    rest = b''
    try:
        array = msgpack.unpackb(data)
    except msgpack.ExtraData as extra:
        array = extra.unpacked
        rest = extra.extra
    except (ValueError, msgpack.UnpackException, RecursionError) as error:
        raise _datagram_error(
            f'datagram is not valid msgpack: {error}'
        ) from None
    if type(array) is not list or len(array) < 2:
        raise _datagram_error(
            'datagram is not an array that starts with version and code'
        )
    version, code, *values = array
    if version != FLOW_DATAGRAM_VERSION:
        raise _datagram_error(
            f'unknown datagram version {common_errors.shorten_repr(version)}'
        )
    format_ = _formats_by_code.get(code) if type(code) is int else None
    if format_ is None:
        raise _datagram_error(
            f'unknown datagram code {common_errors.shorten_repr(code)}'
        )
    if [*map(type, values)] != format_.types:
        raise _datagram_error(
            f'datagram with code {code} has fields of the wrong type'
        )
    datagram = format_.datagram_class(*values)
    if format_.carries_packet:
        datagram.packet_data = bytes(rest)
    return datagram


def _datagram_error(reason):
    return errors.WireError(reason, step='decode_flow_datagram')
