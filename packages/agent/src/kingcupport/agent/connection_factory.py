"""Creates the agent's connections."""

from kingcupport.connections import answer_fetcher
from kingcupport.connections import connection as connection_module
from kingcupport.connections import connection_identity
from kingcupport.connections import connection_limits

STREAM_ID_BITS = 64


class ConnectionFactory:
    """Creates connections on OPEN and on a handoff, and starts them.

    Args:
        settings: AgentSettings.
        keeper: Object with ``fleet``.
        caller: PeerCaller.
        clock: Clock.
        rng: random.Random for stream ids.
        table: ConnectionTable.
        counters: DataPathCounters.
        send_packet: Called with each Packet for a caller.
        make_request_id: Returns a unique text.
    """

    def __init__(
        self,
        settings,
        keeper,
        caller,
        clock,
        rng,
        table,
        counters,
        send_packet,
        make_request_id,
    ):
        self._settings = settings
        self._keeper = keeper
        self._caller = caller
        self._clock = clock
        self._rng = rng
        self._table = table
        self._counters = counters
        self._send_packet = send_packet
        self._make_request_id = make_request_id
        self.runner = None

    def accept(self, packet):
        """Create the connection for an OPEN and answer it."""
        identity = connection_identity.ConnectionIdentity(
            packet.connection_id,
            self._rng.getrandbits(STREAM_ID_BITS),
            packet.caller_address,
            packet.service_address,
            packet.return_address,
        )
        connection = self._make(identity)
        self._table.add(connection)
        connection.start()

    def adopt(self, state, former_owner):
        """Create a connection that another agent gave away.

        Args:
            state: ConnectionState.
            former_owner: Name of the agent where its requests run.

        Returns:
            Why the connection is not adopted, or an empty text.
        """
        existing = self._table.get(state.identity.connection_id)
        if existing is not None:
            if existing.confirmed or not state.confirmed:
                return 'owned under another stream id'
            # A resent OPEN made it; the caller uses the other stream id.
            existing.leave()
        fetcher = answer_fetcher.AnswerFetcher(
            former_owner,
            self._settings.name,
            self._keeper,
            self._caller,
            self._clock,
            self.runner,
        )
        connection = self._make(state.identity, state)
        self._table.add(connection)
        self._counters.adopted += 1
        connection.start(fetcher)
        return ''

    def _make(self, identity, state=None):
        return connection_module.Connection(
            identity,
            self._send_packet,
            self.runner,
            self._clock,
            self._limits(),
            self._make_request_id,
            self._table.remove,
            state,
        )

    def _limits(self):
        limits = self._settings.limits
        service = self._keeper.fleet.services.get(self._settings.service)
        bounds = connection_limits.ConnectionLimits(
            idle_timeout_ms=limits.idle_timeout_ms,
            request_timeout_ms=limits.request_timeout_ms,
        )
        if service is None:
            return bounds
        return connection_limits.ConnectionLimits(
            idle_timeout_ms=limits.idle_timeout_ms,
            request_timeout_ms=limits.request_timeout_ms,
            default_timeout_ms=service.default_timeout_ms,
        )
