"""Routes packets from balancers to connections or to other agents."""

from kingcupport.agent import placement as placement_module
from kingcupport.common import address
from kingcupport.common import errors
from kingcupport.routing import fleet_tables
from kingcupport.wire import datagrams
from kingcupport.wire import packet as packet_module

# Candidates that may receive a packet of an unknown connection before it is
# answered with a reset.
MAX_OWNER_CANDIDATES = 8
# A packet that has passed this many agents follows no further redirect. Each
# redirect results from one handoff, so only a connection that is handed over
# repeatedly within milliseconds needs many.
MAX_REDIRECT_HOPS = 24

_Kind = packet_module.PacketKind
_Placement = placement_module.Placement


class DataPath:
    """Delivers packets of owned connections and forwards all others.

    Args:
        name: Name of this agent.
        service: Name of its service.
        fleet: The Fleet in force.
        packet_format: PacketFormat of the fabric.
        send: Called as ``send(data, (ip, port))``; never blocks.
        table: ConnectionTable.
        placement: OpenPlacement.
        accept: Called with an OPEN Packet; returns the new Connection.
        suspects: Suspects, the agents that were recently unreachable.
        on_datagram: Called as ``on_datagram(datagram, source)`` with
            datagrams other than envelopes.
        on_revision: Called as ``on_revision(revision, address)`` with the
            revision that a balancer routed by.
        counters: DataPathCounters.

    Attributes:
        started: Whether packets are handled; set once the fleet is known.
        draining: Whether new connections are passed on to other agents.
        fleet: The Fleet in force.
    """

    def __init__(
        self,
        *,
        name,
        service,
        fleet,
        packet_format,
        send,
        table,
        placement,
        accept,
        suspects,
        on_datagram,
        on_revision,
        counters,
    ):
        self._name = name
        self._service = service
        self._format = packet_format
        self._send = send
        self._table = table
        self._placement = placement
        self._accept = accept
        self._suspects = suspects
        self._on_datagram = on_datagram
        self._on_revision = on_revision
        self.counters = counters
        self.started = False
        self.draining = False
        self.fleet = fleet
        self._tables = fleet_tables.FleetTables(fleet)
        self._previous_tables = self._tables
        # Agents that are only in the previous fleet and whose port is closed.
        # They have handed over their connections and do not restart.
        self._ended_agents = set()

    def set_fleet(self, fleet):
        """Route by a new fleet and keep the previous one for lookups."""
        self.fleet = fleet
        self._previous_tables = self._tables
        self._tables = fleet_tables.FleetTables(fleet, self._tables)
        self._ended_agents.clear()

    def on_unreachable(self, destination):
        """Stop forwarding packets to the agent at an address for a while.

        Args:
            destination: ``(ip, port)`` whose port is closed.
        """
        agent_address = address.Address(*destination)
        server_entry = self.fleet.backend_server_at(agent_address)
        if server_entry is not None:
            self._suspects.add(server_entry.name)
            return
        previous = self._previous_tables.fleet
        server_entry = previous.backend_server_at(agent_address)
        if server_entry is not None:
            self._ended_agents.add(server_entry.name)

    def receivers(self, connection_id):
        """Return the names of the agents that may adopt a connection.

        Args:
            connection_id: Id of the connection.

        Returns:
            A list in rank order, without this agent and without agents that
            were recently unreachable.
        """
        return [
            name
            for name in self._candidates(connection_id)
            if name != self._name and name not in self._suspects
        ]

    def owner(self, connection_id):
        """Return the first candidate in the fleet in force, or None."""
        table = self._tables.table(self._service)
        return table.owner(connection_id) if table else None

    def on_data(self, data, source):
        """Handle one datagram; malformed ones are counted and dropped.

        Args:
            data: Bytes of the datagram.
            source: ``(ip, port)`` of the sender.
        """
        self.counters.datagrams += 1
        try:
            datagram = datagrams.decode_datagram(data)
            if isinstance(datagram, datagrams.Envelope):
                self._on_envelope(datagram)
            else:
                self._on_datagram(datagram, source)
        except errors.KingcupportError:
            self.counters.malformed += 1

    def _on_envelope(self, envelope):
        if not self.started:
            # Dropped: the fabric retransmits it.
            self.counters.not_started += 1
            return
        if envelope.revision != self.fleet.revision:
            self._on_revision(
                envelope.revision,
                address.parse_address(envelope.balancer_address),
            )
        if envelope.service != self._service:
            self.counters.wrong_service += 1
            packet = self._format.decode(envelope.packet_data)
            self._forward_to_service(envelope, packet)
            return
        packet = self._format.decode(envelope.packet_data)
        # Raises on a malformed address before a connection is created that
        # could not send to it.
        address.parse_address(packet.return_address)
        if self._is_for_other_service(packet):
            self.counters.wrong_service += 1
            self._forward_to_service(envelope, packet)
            return
        connection = self._table.get(packet.connection_id)
        is_open = packet.kind == _Kind.OPEN
        if connection is not None and (
            is_open or packet.stream_id == connection.identity.stream_id
        ):
            connection.deliver(packet)
            if envelope.tried:
                self._send_hint(envelope, packet.connection_id)
        elif is_open:
            self._on_open(envelope, packet)
        else:
            self._on_unknown(envelope, packet)

    def _is_for_other_service(self, packet):
        """Return whether the packet is addressed to another service.

        A balancer that routes by an older revision may name this service for
        an address that has since been assigned to another service.
        """
        service = self.fleet.service_at(packet.service_address)
        return service is not None and service.name != self._service

    def _forward_to_service(self, envelope, packet):
        """Forward a packet of another service to one of its agents.

        When a release note moves a host to another service, balancers send
        that service's packets to its agent, which serves the former service
        until it is restarted. Without this it would drop them all.
        """
        service = self.fleet.service_at(packet.service_address)
        table = self._tables.table(service.name) if service else None
        if table is None:
            return
        candidates = table.candidates(
            packet.connection_id, MAX_OWNER_CANDIDATES
        )
        usable = (
            self.fleet.backend_servers[name].agent_address.as_tuple()
            for name in candidates
            if name != self._name and name not in envelope.tried
        )
        destination = next(usable, None)
        if destination is not None:
            self._forward(envelope, service.name, destination)

    def _on_open(self, envelope, packet):
        if self._is_repeated_open(envelope, packet):
            self._accept_open(envelope, packet)
            return
        if self._follow_redirect(envelope, packet):
            return
        candidates = self._candidates(packet.connection_id)
        if self.draining or self._table.full:
            self._pass_to_next_candidate(envelope, packet, candidates)
            return
        decision, next_name = self._placement.decide(
            candidates, envelope.tried
        )
        if decision == _Placement.PASS_ON and next_name in self._suspects:
            decision = _Placement.ACCEPT
        if decision == _Placement.PASS_ON:
            self.counters.placed_elsewhere += 1
            self._table.set_redirect(
                packet.connection_id, next_name, is_placement=True
            )
            self._pass_on(envelope, next_name)
            return
        self._accept_open(envelope, packet)

    def _is_repeated_open(self, envelope, packet):
        """Return whether this agent has already passed on the same OPEN.

        The caller repeats it when the other agent does not respond. If both
        agents accept it, the stream id that the caller uses identifies the
        owner.
        """
        return (
            not envelope.tried
            and not self.draining
            and not self._table.full
            and self._table.was_placed_elsewhere(packet.connection_id)
        )

    def _accept_open(self, envelope, packet):
        self.counters.accepted += 1
        self._accept(packet)
        if envelope.tried:
            self._send_hint(envelope, packet.connection_id)

    def _on_unknown(self, envelope, packet):
        if self._follow_redirect(envelope, packet):
            return
        connection_id = packet.connection_id
        previous = self._previous_tables.table(self._service)
        candidates = self._candidates(connection_id)
        if previous is not None:
            # A withdrawn agent owns its connections until it has handed them
            # over, including those whose bucket belongs to another agent.
            candidates = (
                previous.owner(connection_id),
                *candidates,
                *previous.candidates(connection_id, MAX_OWNER_CANDIDATES),
            )
        self._pass_to_next_candidate(envelope, packet, candidates)

    def _candidates(self, connection_id):
        table = self._tables.table(self._service)
        if table is None:
            return ()
        return table.candidates(connection_id, MAX_OWNER_CANDIDATES)

    def _follow_redirect(self, envelope, packet):
        name = self._table.redirect(packet.connection_id)
        # The target may have passed the packet on just before it adopted the
        # connection, so a redirect is followed even to an agent that the
        # packet has already visited.
        if (
            name is None
            or len(envelope.tried) >= MAX_REDIRECT_HOPS
            or not self._is_reachable(name)
        ):
            return False
        self._pass_on(envelope, name)
        return True

    def _may_pass_to(self, name, envelope):
        return name not in envelope.tried and self._is_reachable(name)

    def _is_reachable(self, name):
        return (
            name != self._name
            and name not in self._suspects
            and self._agent_address(name) is not None
        )

    def _agent_address(self, name):
        fleets = [self.fleet]
        if name not in self._ended_agents:
            # An agent that was withdrawn or assigned to another service may
            # still own connections while it drains.
            fleets.append(self._previous_tables.fleet)
        server_entries = (fleet.backend_servers.get(name) for fleet in fleets)
        addresses = (
            server_entry.agent_address.as_tuple()
            for server_entry in server_entries
            if server_entry is not None
            and server_entry.service == self._service
        )
        return next(addresses, None)

    def _pass_to_next_candidate(self, envelope, packet, candidates):
        usable = (n for n in candidates if self._may_pass_to(n, envelope))
        next_name = next(usable, None)
        if next_name is None:
            self._send_reset(packet)
        else:
            self._pass_on(envelope, next_name)

    def _pass_on(self, envelope, agent_name):
        self._forward(
            envelope, envelope.service, self._agent_address(agent_name)
        )

    def _forward(self, envelope, service_name, destination):
        self.counters.passed_on += 1
        data = datagrams.encode_envelope(
            service_name,
            envelope.revision,
            envelope.balancer_address,
            [*envelope.tried, self._name],
            envelope.packet_data,
        )
        self._send(data, destination)

    def _send_hint(self, envelope, connection_id):
        self.counters.hints_sent += 1
        hint = datagrams.LocationHint(
            connection_id, self._name, self.fleet.revision
        )
        destination = address.parse_address(envelope.balancer_address)
        self._send(
            datagrams.encode_location_hint(hint), destination.as_tuple()
        )

    def _send_reset(self, packet):
        if packet.kind == _Kind.RESET:
            return
        self.counters.unknown_connection += 1
        packet.kind = int(_Kind.RESET)
        packet.payload = b''
        self.send_packet(packet)

    def send_packet(self, packet):
        """Send a Packet to the return address of its connection."""
        destination = address.parse_address(packet.return_address)
        self._send(self._format.encode(packet), destination.as_tuple())
