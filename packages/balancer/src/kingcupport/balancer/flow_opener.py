"""Places new flows on servers and retries until a server accepts them."""

import collections

from kingcupport.flows import admission
from kingcupport.flows import opening_queue
from kingcupport.wire import flow_datagrams

# An agent confirms within about 2 ms that its server has accepted a flow, and
# declines the flow after 60 ms without an answer of the server. The client
# retransmits after 200 ms.
OPENING_TIMEOUT_MS = 100
# After this many servers, a flow is sent without a slot limit, so that it
# queues at a full server instead of being declined again.
MAX_SLOT_LIMITED_ATTEMPTS = 4
# A flow that this many servers have not accepted is refused; the client's next
# attempt opens a new flow.
MAX_TRIED_SERVERS = 8

# A flow that can no longer be in time leaves a server that has just reported
# room to the timely flows of other balancers for this long.
LATE_YIELD_MS = 10

NO_SERVER = 'no server takes flows'
DATA_CENTRE_EVACUATED = 'data centre evacuated'


class FlowOpener:
    """Handles the opening packets of one balancer.

    Args:
        clock: Clock.
        packet_format: FlowPacketFormat.
        index: ServerIndex.
        table: FlowTable to which placed flows are added.
        loads: ServerLoads.
        placement: FlowPlacement.
        refusals: FlowRefusals.
        counters: FlowCounters.
        decisions: DecisionLog.
        hold: OpeningHold.
        policy: AdmissionPolicy.
        cold_servers: ColdServers.
        find_route: ``find_route(flow)`` returns a FlowRoute or None.
        forward: ``forward(entry, data, slot_limit)`` sends a packet to the
            agent of a FlowEntry.
        call_later: ``call_later(delay_ms, function)`` calls a function later.

    Attributes:
        waiting: OpeningQueue of the flows for which no server has room.
    """

    def __init__(
        self,
        clock,
        packet_format,
        index,
        table,
        loads,
        placement,
        refusals,
        counters,
        decisions,
        hold,
        policy,
        cold_servers,
        *,
        find_route,
        forward,
        call_later,
    ):
        self._clock = clock
        self._format = packet_format
        self._index = index
        self._table = table
        self._loads = loads
        self._placement = placement
        self._refusals = refusals
        self._counters = counters
        self._decisions = decisions
        self._hold = hold
        self._cold_servers = cold_servers
        self._find_route = find_route
        self._forward = forward
        self._call_later = call_later
        # Services whose late flows are placed soon.
        self._yielding = set()
        # Services whose cold servers have room again soon.
        self._paced = set()
        self._policy = policy
        self.waiting = opening_queue.make_opening_queue(clock, policy)
        # (deadline_ms, flow, server name) of the packets that were sent,
        # ordered by deadline because all have the same timeout.
        self._pending_openings = collections.deque()

    def on_opening(self, packet, data, route):
        """Handle an opening packet or a retransmission of one.

        Args:
            packet: FlowPacket.
            data: Its bytes.
            route: FlowRoute of the flow.
        """
        if self._hold.is_active():
            self._hold.put((packet, data, route))
            return
        entry = self._table.get(packet.flow)
        if packet.flow in self.waiting:
            self._counters.copies_ignored += 1
        elif entry is None or self._index.is_replaced(entry):
            self._place(packet, data, route)
        elif self._placement.is_evacuated(entry):
            self._on_evacuated(entry)
        elif entry.is_accepted or self._is_live(entry):
            self._forward(entry, data)
        else:
            self._place_again(entry, 'server left')

    def _on_evacuated(self, entry):
        if entry.is_accepted:
            # The flow is open and stays where it is, but no opening packet may
            # reach its server.
            self._counters.copies_ignored += 1
        else:
            self._place_again(entry, DATA_CENTRE_EVACUATED)

    def on_declined(self, entry, reason):
        """Handle an opening packet that an agent declined.

        Args:
            entry: FlowEntry that no server has accepted.
            reason: DeclineReason.
        """
        if self._hold.is_active():
            # check_openings moves it afterwards.
            return
        if reason == flow_datagrams.DeclineReason.BUSY:
            self._on_busy(entry)
        elif reason == flow_datagrams.DeclineReason.PACED:
            self._on_paced(entry)
        else:
            self._place_again(entry, reason.name.lower())

    def on_unreachable(self, ip):
        """Avoid an agent whose port is closed and move its unaccepted flows.

        Args:
            ip: Address of the agent.
        """
        self._loads.avoid(ip)
        if self._hold.is_active():
            return
        for _, flow, server_name in list(self._pending_openings):
            entry = self._find_unaccepted(flow, server_name)
            if entry is not None and entry.ip == ip:
                self._place_again(entry, 'agent is gone')

    def check_openings(self):
        """Move the flows that their servers have not accepted in time."""
        if self._hold.is_active():
            return
        for packet, data, route in self._hold.take_all():
            self.on_opening(packet, data, route)
        now_ms = self._clock.monotonic_ms()
        while (
            self._pending_openings and self._pending_openings[0][0] <= now_ms
        ):
            _, flow, server_name = self._pending_openings.popleft()
            entry = self._find_unaccepted(flow, server_name)
            if entry is not None:
                self._loads.avoid(entry.ip)
                self._place_again(entry, 'no answer')

    def check_waiting(self):
        """Place or refuse the flows whose maximum wait has passed."""
        if self._hold.is_active():
            return
        for opening in self.waiting.pop_expired():
            if self._is_already_accepted(opening):
                continue
            server = self._choose(
                opening.flow,
                opening.service,
                (),
                self.waiting.is_late(opening),
            )
            limit = 0
            if server is not None:
                limit = self._placement.slot_limit_after_wait(opening, server)
            elif self._place_after_pause(opening.service):
                limit = None
            if limit is None:
                self._refuse_overloaded(opening, admission.NO_ROOM)
            else:
                self._place_opening(opening, server, limit)

    def place_waiting(self, service, *, yields=True):
        """Place the waiting flows of a service while its servers have room.

        Args:
            service: Name of a service that has a new load report.
            yields: Whether late flows are placed only after a pause.
        """
        if self._hold.is_active():
            return
        while True:
            opening = self.waiting.pop(service)
            if opening is None:
                return
            if self._is_already_accepted(opening):
                continue
            if yields and self.waiting.is_late(opening):
                self.waiting.requeue(opening)
                self._place_late_soon(service)
                return
            server = self._choose(
                opening.flow, service, (), self.waiting.is_late(opening)
            )
            limit = 0
            if server is not None:
                limit = self._slot_limit(server, opening)
            elif self._place_after_pause(service):
                limit = None
            if limit is None:
                self.waiting.requeue(opening)
                return
            self._place_opening(opening, server, limit)

    def _place_late_soon(self, service):
        if service in self._yielding:
            return
        self._yielding.add(service)

        def place_late():
            self._yielding.discard(service)
            self.place_waiting(service, yields=False)

        self._call_later(LATE_YIELD_MS, place_late)

    def _place(self, packet, data, route):
        service = route.choose_service(packet.flow)
        opening = self.waiting.make_opening(
            packet.flow,
            service,
            data,
            route,
            self._clock.monotonic_ms() - packet.opening_age_ms,
        )
        server = self._choose(
            packet.flow, service, (), self.waiting.is_late(opening)
        )
        if server is None and not self._place_after_pause(service):
            self._refusals.refuse(
                packet, self._no_server_reason(service), service
            )
            return
        limit = None
        if server is not None:
            limit = self._slot_limit(server, opening)
        if limit is not None:
            self._register_and_send(
                packet.flow, server, data, limit, opening.opened_ms
            )
            self._on_placed(opening)
        elif self.waiting.put(opening):
            self._counters.flows_waiting += 1
        self._refuse_chosen()

    def _slot_limit(self, server, opening):
        limit = self._placement.slot_limit(
            server, self.waiting.is_late(opening)
        )
        if limit is not None or self._placement.is_start_limited(server):
            return limit
        running = self._loads.running(server.ip)
        added_places = self._policy.added_places(
            opening, server, self._loads.get(server.ip), running
        )
        added_limit = (
            server.slots
            + opening_queue.MAX_QUEUED_FLOWS_PER_SERVER
            + added_places
        )
        if not added_places or running >= added_limit:
            return None
        self._counters.flows_in_added_places += 1
        return added_limit

    def _on_placed(self, opening):
        self._policy.on_placed(
            opening.service,
            opening.priority,
            self.waiting.counts(opening.service),
        )

    def _refuse_chosen(self):
        """Refuse the openings that the policy has removed from the queue."""
        for opening, refusal in self.waiting.pop_refused():
            if not self._is_already_accepted(opening):
                self._refuse_overloaded(opening, refusal)

    def _refuse_overloaded(self, opening, refusal):
        packet = self._format.read_from_client(opening.data)
        waited_ms = self._clock.monotonic_ms() - opening.queued_ms
        self._refusals.refuse(
            packet,
            refusal.reason,
            opening.service,
            opened_ago_ms=round(packet.opening_age_ms + waited_ms),
            waited_ms=round(waited_ms),
            waiting=len(self.waiting),
            **refusal.inputs,
        )

    def _is_already_accepted(self, opening):
        """Whether the flow of a waiting packet has been accepted already.

        A balancer that was paused may read a retransmitted opening packet just
        before later packets of the flow, which make it find the server.
        """
        entry = self._table.get(opening.flow)
        if entry is None or not entry.is_accepted:
            return False
        self._counters.copies_ignored += 1
        return True

    def _place_opening(self, opening, server, limit):
        if server is None:
            packet = self._format.read_from_client(opening.data)
            self._refusals.refuse(
                packet,
                self._no_server_reason(opening.service),
                opening.service,
            )
            return
        waited_ms = self._clock.monotonic_ms() - opening.queued_ms
        entry = self._register_and_send(
            opening.flow,
            server,
            opening.data,
            limit,
            opening.opened_ms,
            waited_ms,
        )
        entry.wait_deadline_ms = opening.deadline_ms
        self._on_placed(opening)

    def _register_and_send(
        self, flow, server, data, limit, opened_ms, waited_ms=0
    ):
        entry = self._table.put(
            flow, server, opening_data=data, opened_ms=opened_ms
        )
        self._counters.flows_placed += 1
        latencies = self._counters.latencies
        latencies['opening_wait_ms'].add(waited_ms)
        latencies['opening_age_ms'].add(self._clock.monotonic_ms() - opened_ms)
        self._send(entry, server, 'flow placed', limit, waited_ms)
        return entry

    def _place_again(self, entry, reason):
        entry.tried = (*entry.tried, entry.server_name)
        self._loads.on_opening_resolved(entry.ip, entry.flow)
        server = None
        if len(entry.tried) < MAX_TRIED_SERVERS:
            server = self._choose(entry.flow, entry.service, entry.tried)
        if server is None:
            packet = self._format.read_from_client(entry.opening_data)
            self._table.forget(entry.flow)
            if packet is not None:
                self._refusals.refuse(
                    packet,
                    self._no_server_reason(entry.service, reason),
                    entry.service,
                )
            return
        data = entry.opening_data
        entry = self._table.put(entry.flow, server, opening_data=data)
        self._counters.flows_placed_again += 1
        limit = 0
        if len(entry.tried) < MAX_SLOT_LIMITED_ATTEMPTS:
            limit = self._placement.slot_limit(server) or 0
        self._send(entry, server, f'flow placed again: {reason}', limit)

    def _on_busy(self, entry):
        server = self._index.by_ip.get(entry.ip)
        self._loads.on_opening_resolved(entry.ip, entry.flow)
        self._loads.on_busy(entry.ip, server.slots + 1 if server else 1)
        route = self._find_route(entry.flow)
        if route is None or not self._will_report_room(entry.service):
            self._place_again(entry, 'busy')
            return
        if not self._wait_again(entry, route):
            self._place_again(entry, 'busy')
            return
        self.place_waiting(entry.service)

    def _wait_again(self, entry, route):
        """Queue a flow that a server declined, or refuse it.

        Returns:
            Whether that was possible; else the queue has no place.
        """
        opening = self.waiting.make_opening(
            entry.flow,
            entry.service,
            entry.opening_data,
            route,
            entry.opened_ms,
            entry.wait_deadline_ms,
        )
        was_waiting = entry.wait_deadline_ms is not None
        if not self.waiting.put(opening, is_admitted=was_waiting):
            ((_, refusal),) = self.waiting.pop_refused()
            if refusal is admission.NO_ROOM:
                return False
            self._refuse_overloaded(opening, refusal)
        self._table.forget(entry.flow)
        self._refuse_chosen()
        return True

    def _on_paced(self, entry):
        """Try another server, or wait until a cold one has room again."""
        self._loads.on_opening_resolved(entry.ip, entry.flow)
        self._loads.on_paced(
            entry.ip, self._cold_servers.pause_ms(entry.service)
        )
        route = self._find_route(entry.flow)
        if route is None or not self._wait_again(entry, route):
            self._place_again(entry, 'paced')
            return
        self._place_after_pause(entry.service)
        self.place_waiting(entry.service)

    def _place_after_pause(self, service):
        """Place waiting flows once a cold server has room again.

        Returns:
            Whether some server of the service is cold and at its limit.
        """
        pause_ms = self._placement.paced_ms(
            self._index.by_service.get(service, ())
        )
        if pause_ms is None:
            return False
        if service not in self._paced:
            self._paced.add(service)

            def place():
                self._paced.discard(service)
                self._place_after_pause(service)
                self.place_waiting(service)

            self._call_later(pause_ms, place)
        return True

    def _will_report_room(self, service):
        """Whether some server reports every change of its load."""
        servers = self._index.by_service.get(service, ())
        return any(
            self._loads.get(server.ip).is_exact
            and self._loads.is_usable(server.ip)
            and not self._placement.is_evacuated(server)
            for server in servers
        )

    def _no_server_reason(self, service, reason=NO_SERVER):
        """Return why no server was chosen, or else ``reason``."""
        servers = self._index.by_service.get(service, ())
        is_evacuated = any(
            self._placement.is_evacuated(server)
            for server in servers
            if not server.is_draining
        )
        return DATA_CENTRE_EVACUATED if is_evacuated else reason

    def _choose(self, flow, service, tried, is_late=False):
        return self._placement.choose(
            flow,
            self._index.by_service.get(service, ()),
            tried,
            is_late=is_late,
        )

    def _send(self, entry, server, event, limit, waited_ms=0):
        load = self._loads.get(server.ip)
        now_ms = self._clock.monotonic_ms()
        self._decisions.write(
            event,
            {
                'flow': self._format.describe(entry.flow),
                'service': entry.service,
                'server': server.name,
                'running': load.running,
                'report_age_ms': _age_ms(load.reported_ms, now_ms),
                'view_age_ms': self._refusals.view_age_ms(),
                'tried': len(entry.tried),
                'opened_ago_ms': _age_ms(entry.opened_ms, now_ms),
                'waited_ms': round(waited_ms),
                **_describe_pace(load),
            },
        )
        self._loads.on_opening_sent(server.ip, entry.flow)
        self._pending_openings.append(
            (now_ms + OPENING_TIMEOUT_MS, entry.flow, server.name)
        )
        self._forward(entry, entry.opening_data, limit)

    def _find_unaccepted(self, flow, server_name):
        entry = self._table.get(flow)
        if (
            entry is None
            or entry.is_accepted
            or entry.server_name != server_name
        ):
            return None
        return entry

    def _is_live(self, entry):
        return self._index.is_listed(entry) and self._loads.is_usable(entry.ip)


def _describe_pace(load):
    if load.pace is None:
        return {}
    return {
        'service_time_ms': round(load.pace.service_time_ms, 1),
        'pace_ratio': round(load.pace_ratio, 2),
        'openings_allowed': load.pace.openings_allowed,
    }


def _age_ms(time_ms, now_ms):
    return None if time_ms is None else round(now_ms - time_ms)
