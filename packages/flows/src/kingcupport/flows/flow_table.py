"""Table of the flows of one balancer and their servers."""

import collections

import attrs

# 4.6 million flows on 640 balancers are 7,200 each; the remainder is for the
# flows of other balancers that fail.
MAX_FLOWS = 65_536
# A closing flow is kept for this long after its client's last packet, because
# retransmitted closing packets arrive up to 1,600 ms later.
CLOSED_RETENTION_MS = 3_000


@attrs.define
class FlowEntry:
    """A flow and the server that it is assigned to.

    Args:
        flow: Bytes that identify the flow.
        service: Name of its service.
        server_name: Name of the backend server that it goes to.
        boot_utc_ms: Start time of that server, in Unix milliseconds; tells it
            from a later server with the same address.
        ip: Address of the server's instance.
        opened_ms: Latest time at which its client sent the first packet, on
            the monotonic clock.
        expires_ms: When it may be dropped, on the monotonic clock.
        is_accepted: Whether a server is known to have accepted it.
        is_closing: Whether its client has closed its side.
        opening_data: Bytes of its opening packet until it is accepted.
        tried: Names of the servers that did not accept it.
        wait_deadline_ms: When it stops waiting for a server with room, on the
            monotonic clock; None if it has not waited.
        data_centre: Name of the data centre of its server.
    """

    flow: bytes
    service: str
    server_name: str
    boot_utc_ms: int
    ip: str
    opened_ms: float
    expires_ms: float
    is_accepted: bool = False
    is_closing: bool = False
    opening_data: bytes = b''
    tried: tuple = ()
    wait_deadline_ms: float | None = None
    data_centre: str = ''


class FlowTable:
    """FlowEntry by flow, with eviction of the least recently used.

    Args:
        clock: Clock.
        max_age_ms: Age at which a flow may be dropped.
        capacity: Maximum number of flows.

    Attributes:
        idle_timeout_ms: Time without a packet after which a flow may be
            dropped.
        evicted_count: Number of flows evicted because the table was full.
    """

    def __init__(self, clock, max_age_ms, capacity=MAX_FLOWS):
        self._clock = clock
        self._max_age_ms = max_age_ms
        self._capacity = capacity
        self._entries = collections.OrderedDict()
        self.idle_timeout_ms = 60_000
        self.evicted_count = 0

    def __len__(self):
        """Return the number of flows."""
        return len(self._entries)

    def __iter__(self):
        """Iterate over the entries."""
        return iter(list(self._entries.values()))

    def get(self, flow):
        """Return the FlowEntry of a flow and mark it as used, or None."""
        entry = self._entries.get(flow)
        if entry is None:
            return None
        now_ms = self._clock.monotonic_ms()
        if now_ms >= entry.expires_ms:
            del self._entries[flow]
            return None
        self._entries.move_to_end(flow)
        lifetime_ms = (
            CLOSED_RETENTION_MS if entry.is_closing else self.idle_timeout_ms
        )
        entry.expires_ms = min(
            now_ms + lifetime_ms, entry.opened_ms + self._max_age_ms
        )
        return entry

    def put(
        self,
        flow,
        server,
        *,
        opening_data=b'',
        is_accepted=False,
        opened_ms=None,
    ):
        """Assign a flow to a server.

        A known flow keeps its opening time and the servers that it has tried.

        Args:
            flow: Bytes that identify the flow.
            server: FlowServer.
            opening_data: Bytes of its opening packet.
            is_accepted: Whether the server is known to hold it.
            opened_ms: Latest time at which its client sent the first packet,
                on the monotonic clock; now by default. Ignored for a known
                flow.

        Returns:
            The FlowEntry.
        """
        now_ms = self._clock.monotonic_ms()
        if opened_ms is None:
            opened_ms = now_ms
        known = self._entries.pop(flow, None)
        entry = FlowEntry(
            flow,
            server.service,
            server.name,
            server.boot_utc_ms,
            server.ip,
            known.opened_ms if known is not None else opened_ms,
            now_ms + self.idle_timeout_ms,
            is_accepted=is_accepted,
            opening_data=opening_data,
            tried=known.tried if known is not None else (),
            wait_deadline_ms=(
                known.wait_deadline_ms if known is not None else None
            ),
            data_centre=server.data_centre,
        )
        self._entries[flow] = entry
        if len(self._entries) > self._capacity:
            self._entries.popitem(last=False)
            self.evicted_count += 1
        return entry

    def forget(self, flow):
        """Remove a flow, if it is known."""
        self._entries.pop(flow, None)

    def drop_expired(self):
        """Remove all expired flows; called every few seconds."""
        now_ms = self._clock.monotonic_ms()
        expired = [
            flow
            for flow, entry in self._entries.items()
            if now_ms >= entry.expires_ms
        ]
        for flow in expired:
            del self._entries[flow]


def make_flow_table(clock, max_age_ms):
    """Return an empty table.

    Args:
        clock: Clock.
        max_age_ms: Age at which a flow may be dropped.
    """
    return FlowTable(clock, max_age_ms)
