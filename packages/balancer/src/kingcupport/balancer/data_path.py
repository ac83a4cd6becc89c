"""Forwards packets to the agents that own their connections."""

from kingcupport.common import address
from kingcupport.common import errors
from kingcupport.routing import fleet_tables
from kingcupport.wire import datagrams
from kingcupport.wire import packet as packet_module

# Number of candidates considered if the owner of a connection is unreachable.
MAX_CANDIDATES = 8


class DataPath:
    """Chooses an agent for each packet and sends it there in an envelope.

    Args:
        fleet: The Fleet in force.
        own_address: ``ip:port`` of this balancer, for location hints.
        packet_format: PacketFormat of the fabric.
        send: Called as ``send(data, (ip, port))``; never blocks.
        hints: HintCache.
        suspects: Suspects, the names of agents that are avoided for a while.
        get_gone_agents: Called without arguments; returns the names of the
            agents that the list of instances reports as gone.
        on_datagram: Called as ``on_datagram(datagram, source)`` with
            datagrams other than packets and location hints.
        counters: Counters of the data path.
    """

    def __init__(
        self,
        fleet,
        own_address,
        packet_format,
        send,
        hints,
        suspects,
        get_gone_agents,
        on_datagram,
        counters,
    ):
        self._own_address = str(own_address)
        self._format = packet_format
        self._send = send
        self._hints = hints
        self._suspects = suspects
        self._get_gone_agents = get_gone_agents
        self._on_datagram = on_datagram
        self.counters = counters
        self._tables = fleet_tables.FleetTables(fleet)
        self._load_fleet(fleet)

    def set_fleet(self, fleet):
        """Replace the fleet by which packets are routed."""
        self._tables = fleet_tables.FleetTables(fleet, self._tables)
        self._load_fleet(fleet)
        self._hints.keep_agents(fleet.backend_servers.keys())

    def _load_fleet(self, fleet):
        self.fleet = fleet
        self._services = {
            str(service.address): service.name
            for service in fleet.services.values()
        }
        self._headers = {
            name: datagrams.encode_envelope(
                name, fleet.revision, self._own_address, [], b''
            )
            for name in fleet.services
        }
        self._agent_addresses = {
            member.name: member.agent_address.as_tuple()
            for member in fleet.backend_servers.values()
        }
        self._agents_by_address = {
            agent_address: name
            for name, agent_address in self._agent_addresses.items()
        }

    def on_data(self, data, source):
        """Handle one datagram; malformed ones are counted and dropped.

        Args:
            data: Bytes of the datagram.
            source: ``(ip, port)`` of the sender.
        """
        self.counters.datagrams += 1
        try:
            fields = self._format.routing_fields(data)
            if fields is None:
                self._on_other_datagram(data, source)
                return
        except errors.KingcupportError:
            self.counters.malformed += 1
            return
        service = self._services.get(fields.service_address)
        agent_name = self.target(service, fields.connection_id)
        if agent_name is None:
            self._refuse(fields, data)
            return
        self.counters.forwarded += 1
        self._send(
            self._headers[service] + data, self._agent_addresses[agent_name]
        )

    def target(self, service, connection_id):
        """Return the name of the agent for a connection, or None.

        An agent that the list of instances reports as gone is chosen only by a
        hint. If the list is wrong, the next candidate passes the packets of
        the agent's connections on to it.

        Args:
            service: Name of the service; None returns None.
            connection_id: Id of the connection.
        """
        agent_name = self._hints.get(connection_id)
        if agent_name is not None and self._serves(agent_name, service):
            return agent_name
        table = self._tables.table(service) if service else None
        if table is None:
            return None
        agent_name = table.owner(connection_id)
        gone = self._get_gone_agents()
        is_suspect = self._suspects and agent_name in self._suspects
        if is_suspect or agent_name in gone:
            return self._next_candidate(table, connection_id, gone, agent_name)
        return agent_name

    def _serves(self, agent_name, service):
        if self._suspects and agent_name in self._suspects:
            return False
        member = self.fleet.backend_servers.get(agent_name)
        return member is not None and member.service == service

    def _next_candidate(self, table, connection_id, gone, default):
        candidates = table.candidates(connection_id, MAX_CANDIDATES)
        usable = (
            name
            for name in candidates
            if name not in self._suspects and name not in gone
        )
        return next(usable, default)

    def table(self, service):
        """Return a service's BucketTable, or None."""
        return self._tables.table(service)

    def hint(self, connection_id):
        """Return the name of the agent in a connection's hint, or None."""
        return self._hints.get(connection_id)

    def on_unreachable(self, destination):
        """Avoid the agent at an address for a while.

        Args:
            destination: ``(ip, port)``.
        """
        agent_name = self._agents_by_address.get(tuple(destination))
        if agent_name is not None:
            self.counters.unreachable += 1
            self._suspects.add(agent_name)

    def _on_other_datagram(self, data, source):
        datagram = datagrams.decode_datagram(data)
        if isinstance(datagram, datagrams.LocationHint):
            self.counters.hints += 1
            self._hints.put(datagram.connection_id, datagram.agent_name)
        else:
            self._on_datagram(datagram, source)

    def _refuse(self, fields, data):
        """Refuse an OPEN for an address that no host serves.

        Other packets are dropped: a balancer with an outdated fleet may not
        know the service of an established connection yet, and the caller
        retransmits them through another balancer. Before the first fleet is
        known, all packets are dropped for the same reason.
        """
        is_open = fields.kind == packet_module.PacketKind.OPEN
        if not is_open or self.fleet.revision == 0:
            self.counters.dropped += 1
            return
        self.counters.refused += 1
        packet = self._format.decode(data)
        packet.kind = int(packet_module.PacketKind.RESET)
        packet.payload = b''
        destination = address.parse_address(fields.return_address)
        self._send(self._format.encode(packet), destination.as_tuple())
