"""Creates the connections that an agent owns."""

from kingcupport.connections import answer_fetcher
from kingcupport.connections import connection as connection_module
from kingcupport.connections import connection_identity
from kingcupport.connections import connection_limits

STREAM_ID_BITS = 64


class ConnectionFactory:
    """Creates and starts connections for OPEN packets and handoffs.

    Args:
        settings: AgentSettings.
        registry: Object with ``fleet``.
        caller: PeerCaller.
        clock: Clock.
        rng: random.Random for stream ids.
        table: ConnectionTable.
        counters: DataPathCounters.
        send_packet: Called with each Packet for a caller.
        make_request_id: Returns a unique request id.

    Attributes:
        runner: RequestRunner for the requests; None until the fleet is known.
    """

    def __init__(
        self,
        settings,
        registry,
        caller,
        clock,
        rng,
        table,
        counters,
        send_packet,
        make_request_id,
    ):
        self._settings = settings
        self._registry = registry
        self._caller = caller
        self._clock = clock
        self._rng = rng
        self._table = table
        self._counters = counters
        self._send_packet = send_packet
        self._make_request_id = make_request_id
        self.runner = None

    def accept(self, packet):
        """Create the connection for an OPEN packet and send OPENED."""
        identity = connection_identity.ConnectionIdentity(
            packet.connection_id,
            self._rng.getrandbits(STREAM_ID_BITS),
            packet.caller_address,
            packet.service_address,
            packet.return_address,
        )
        connection = self._make_connection(identity)
        self._table.add(connection)
        connection.start()

    def adopt(self, state, former_owner):
        """Create a connection from the state that another agent handed over.

        Args:
            state: ConnectionState.
            former_owner: Name of the agent that still runs its requests.

        Returns:
            The reason for refusing the connection, or an empty string.
        """
        existing = self._table.get(state.identity.connection_id)
        if existing is not None:
            if existing.confirmed or not state.confirmed:
                return 'owned under another stream id'
            # The existing connection was created by a retransmitted OPEN and
            # is still half-open; the caller uses the stream id of the
            # connection that is handed over.
            existing.terminate()
        fetcher = answer_fetcher.AnswerFetcher(
            former_owner,
            self._settings.name,
            self._registry,
            self._caller,
            self._clock,
            self.runner,
        )
        connection = self._make_connection(state.identity, state)
        self._table.add(connection)
        self._counters.adopted += 1
        connection.start(fetcher)
        return ''

    def _make_connection(self, identity, state=None):
        return connection_module.Connection(
            identity,
            self._send_packet,
            self.runner,
            self._clock,
            self._make_limits(),
            self._make_request_id,
            self._table.remove,
            state,
        )

    def _make_limits(self):
        limits = self._settings.limits
        service = self._registry.fleet.services.get(self._settings.service)
        default_limits = connection_limits.ConnectionLimits(
            idle_timeout_ms=limits.idle_timeout_ms,
            request_timeout_ms=limits.request_timeout_ms,
        )
        if service is None:
            return default_limits
        return connection_limits.ConnectionLimits(
            idle_timeout_ms=limits.idle_timeout_ms,
            request_timeout_ms=limits.request_timeout_ms,
            default_timeout_ms=service.default_timeout_ms,
        )
