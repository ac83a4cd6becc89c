"""Packets that an agent has handed to its server as probes."""

import collections

import attrs

# A server returns a packet of an unknown flow at once, but answers a request
# only when it has run.
PROBE_TIMEOUT_MS = 3_000
MAX_PROBES = 4_096


@attrs.frozen
class ServerProbe:
    """A packet that shows by the server's reaction whether it holds a flow.

    Args:
        packet: FlowPacket.
        data: Its bytes.
        sender: ``(ip, port)`` of the agent that waits for the result.
        expires_ms: When a packet of the server is no longer taken as the
            reaction, on the monotonic clock.
        is_batched: Whether it came in a batch, so that the sender knows
            answers in batches.
    """

    packet: object
    data: bytes
    sender: tuple
    expires_ms: float
    is_batched: bool = False


class ServerProbes:
    """The probes that the server has not reacted to, one for each flow.

    Args:
        clock: Clock.
    """

    def __init__(self, clock):
        self._clock = clock
        self._probes = collections.OrderedDict()

    def add(self, packet, data, sender, *, is_batched=False):
        """Remember a probe.

        Args:
            packet: FlowPacket.
            data: Its bytes.
            sender: ``(ip, port)`` of the agent that waits for the result.
            is_batched: Whether it came in a batch.
        """
        now_ms = self._clock.monotonic_ms()
        self._probes.pop(packet.flow, None)
        self._probes[packet.flow] = ServerProbe(
            packet, data, sender, now_ms + PROBE_TIMEOUT_MS, is_batched
        )
        if len(self._probes) > MAX_PROBES:
            self._probes.popitem(last=False)

    def take(self, flow):
        """Remove and return the ServerProbe of a flow, or None.

        Args:
            flow: Bytes that identify a flow of which the server has just sent
                or returned a packet.
        """
        probe = self._probes.pop(flow, None)
        if probe is None or self._clock.monotonic_ms() >= probe.expires_ms:
            return None
        return probe

    def drop_expired(self):
        """Forget old probes; called periodically."""
        now_ms = self._clock.monotonic_ms()
        expired = [
            flow
            for flow, probe in self._probes.items()
            if now_ms >= probe.expires_ms
        ]
        for flow in expired:
            del self._probes[flow]


def make_server_probes(clock):
    """Return an empty set of probes.

    Args:
        clock: Clock.
    """
    return ServerProbes(clock)
