"""Takes envelopes from balancers to the connections that own them."""

from kingcupport.agent import placement as placement_module
from kingcupport.common import address
from kingcupport.common import errors
from kingcupport.routing import fleet_tables
from kingcupport.wire import datagrams
from kingcupport.wire import packet as packet_module

# Agents asked for an unknown connection before the caller gets a reset.
MAX_ASKED_AGENTS = 8
# Redirects are followed that far. Each follows one handoff, so only a
# connection that moves on again and again within milliseconds needs many.
MAX_HOPS = 24

_Kind = packet_module.PacketKind
_Placement = placement_module.Placement


class DataPath:
    """Delivers packets to owned connections and passes the others on.

    Args:
        name: Name of this agent.
        service: Name of its service.
        fleet: The Fleet in force.
        packet_format: PacketFormat of the fabric.
        send: Called as ``send(data, (ip, port))``; never blocks.
        table: ConnectionTable.
        placement: OpenPlacement.
        accept: Called with an OPEN Packet; returns the new Connection.
        suspects: Suspects, names of agents that did not answer lately.
        on_datagram: Called as ``on_datagram(datagram, source)`` with
            datagrams other than envelopes.
        on_revision: Called as ``on_revision(revision, address)`` with the
            revision that a balancer routed under.
        counters: DataPathCounters.
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
        # Agents of the previous fleet only whose port has closed. They have
        # given their connections away and do not come back.
        self._ended_agents = set()

    def set_fleet(self, fleet):
        """Route by another fleet from now on."""
        self.fleet = fleet
        self._previous_tables = self._tables
        self._tables = fleet_tables.FleetTables(fleet, self._tables)
        self._ended_agents.clear()

    def on_unreachable(self, destination):
        """Avoid the agent at an address.

        Args:
            destination: ``(ip, port)`` whose port is closed.
        """
        agent_address = address.Address(*destination)
        member = self.fleet.backend_server_at(agent_address)
        if member is not None:
            self._suspects.add(member.name)
            return
        previous = self._previous_tables.fleet
        member = previous.backend_server_at(agent_address)
        if member is not None:
            self._ended_agents.add(member.name)

    def receivers(self, connection_id):
        """Return the names of the agents that may take a connection.

        Args:
            connection_id: The connection.

        Returns:
            A list in rank order, without this agent and without those that
            did not answer lately.
        """
        return [
            name
            for name in self._candidates(connection_id)
            if name != self._name and name not in self._suspects
        ]

    def owner(self, connection_id):
        """Return the first candidate under the fleet in force, or None."""
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
            # Dropped: the caller's side sends it again.
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
            self._return_to_service(envelope, packet)
            return
        packet = self._format.decode(envelope.packet_data)
        # Checked before a connection is made that could not answer.
        address.parse_address(packet.return_address)
        if self._is_for_other_service(packet):
            self.counters.wrong_service += 1
            self._return_to_service(envelope, packet)
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
        """Whether the address in the packet is another service's.

        A balancer with an old view may name this service for an address that
        has been given to another one since.
        """
        service = self.fleet.service_at(packet.service_address)
        return service is not None and service.name != self._service

    def _return_to_service(self, envelope, packet):
        """Send a misdirected packet to an agent of its own service.

        Otherwise an agent whose host a note has moved to another service
        would swallow that service's packets until it is restarted.
        """
        service = self.fleet.service_at(packet.service_address)
        table = self._tables.table(service.name) if service else None
        if table is None:
            return
        candidates = table.candidates(packet.connection_id, MAX_ASKED_AGENTS)
        usable = (
            self.fleet.backend_servers[name].agent_address.as_tuple()
            for name in candidates
            if name != self._name and name not in envelope.tried
        )
        destination = next(usable, None)
        if destination is not None:
            self._send_on(envelope, service.name, destination)

    def _on_open(self, envelope, packet):
        if self._is_repeated_open(envelope, packet):
            self._accept_open(envelope, packet)
            return
        if self._follow_redirect(envelope, packet):
            return
        candidates = self._candidates(packet.connection_id)
        if self.draining or self._table.full:
            self._pass_to_next(envelope, packet, candidates)
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
        """Whether the caller repeats an OPEN that was passed on here before.

        The other agent may be silent. Should it have accepted after all, the
        caller's stream id tells which of the two owns the connection.
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
            # An agent that was withdrawn keeps its connections until it has
            # handed them over, also those whose bucket it did not own.
            candidates = (
                previous.owner(connection_id),
                *candidates,
                *previous.candidates(connection_id, MAX_ASKED_AGENTS),
            )
        self._pass_to_next(envelope, packet, candidates)

    def _candidates(self, connection_id):
        table = self._tables.table(self._service)
        if table is None:
            return ()
        return table.candidates(connection_id, MAX_ASKED_AGENTS)

    def _follow_redirect(self, envelope, packet):
        name = self._table.redirect(packet.connection_id)
        # The target may have passed the packet on just before it adopted the
        # connection, so agents that were tried are asked again.
        if (
            name is None
            or len(envelope.tried) >= MAX_HOPS
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
            # An agent that was withdrawn or moved to another service may
            # still own connections while it drains.
            fleets.append(self._previous_tables.fleet)
        members = (fleet.backend_servers.get(name) for fleet in fleets)
        addresses = (
            member.agent_address.as_tuple()
            for member in members
            if member is not None and member.service == self._service
        )
        return next(addresses, None)

    def _pass_to_next(self, envelope, packet, candidates):
        usable = (n for n in candidates if self._may_pass_to(n, envelope))
        next_name = next(usable, None)
        if next_name is None:
            self._reset(packet)
        else:
            self._pass_on(envelope, next_name)

    def _pass_on(self, envelope, agent_name):
        self._send_on(
            envelope, envelope.service, self._agent_address(agent_name)
        )

    def _send_on(self, envelope, service_name, destination):
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

    def _reset(self, packet):
        if packet.kind == _Kind.RESET:
            return
        self.counters.unknown_connection += 1
        packet.kind = int(_Kind.RESET)
        packet.payload = b''
        self.send_packet(packet)

    def send_packet(self, packet):
        """Send a Packet to the fabric port that takes answers."""
        destination = address.parse_address(packet.return_address)
        self._send(self._format.encode(packet), destination.as_tuple())
