"""Keeps a balancer's view up to date from the store and from its peers."""

import logging

from gevent import event

from kingcupport.flows import fleet_source
from kingcupport.wire import flow_datagrams

LOG = logging.getLogger(__name__)

# How often a balancer tells its peers and its agents that it is there.
GREETING_INTERVAL_MS = 500
# Greetings of one round; 6 a second of 201 bytes are 1.2 KB/s, and as much
# for the replies.
MAX_GREETED_PEERS = 3
# A reader tells of a reading at once; of a change to all that it knows.
MAX_TOLD_PEERS = 32
# Agents greeted a second; larger fleets are greeted less often.
MAX_AGENT_GREETINGS_PER_S = 32
# A load report is too old after so many greetings without an answer.
GREETINGS_BEFORE_EXPIRY = 2.6
# A peer that is silent for longer is forgotten, unless it is a seed.
PEER_KEEP_MS = 10_000
MAX_NAMED_PEERS = 16
MAX_PEERS = 1_024
# The view is checked for its turn at least so often, because confirmations
# from peers move it.
TURN_CHECK_MS = 100


class FlowSync:
    """Reads the store when it is this balancer's turn, and asks peers.

    Args:
        settings: FlowBalancerSettings.
        clock: Clock.
        rng: random.Random.
        view: FleetView.
        turn: ReaderTurn.
        source: FleetSource.
        pull: ``pull(ip)`` asks a balancer for its view; returns whether
            that succeeded.
        counters: FlowCounters.
        send: ``send(data, address)`` on the agents' socket.
    """

    def __init__(
        self,
        settings,
        clock,
        rng,
        view,
        turn,
        source,
        pull,
        counters,
        send,
    ):
        self._settings = settings
        self._clock = clock
        self._rng = rng
        self._view = view
        self._turn = turn
        self._source = source
        self._pull = pull
        self._counters = counters
        self._send = send
        self._needs_whole = True
        self._was_reading = None
        self._peers = {}
        self._greeted_agents_ms = 0.0
        self._agent_interval_ms = GREETING_INTERVAL_MS
        self._pull_wanted = event.Event()
        self._pull_ip = None
        self.is_leaving = False

    @property
    def peer_ips(self):
        """Addresses of the balancers that were heard of lately."""
        return list(self._peers)

    def set_seeds(self, ips):
        """Greet these addresses from now on, besides the known peers."""
        self._settings.seed_ips = tuple(ips)

    # Reading

    def run_reader(self):
        """Read the store whenever it is this balancer's turn, for ever."""
        while True:
            now_ms = self._clock.monotonic_ms()
            due_ms = self._turn.next_read_ms()
            if due_ms > now_ms:
                self._clock.sleep_until(min(due_ms, now_ms + TURN_CHECK_MS))
                continue
            self._read(now_ms)

    def _read(self, started_ms):
        try:
            reading = self._call_source(started_ms)
        except fleet_source.HistoryLostError as error:
            LOG.info('store lost its history', extra={'error': error})
            self._needs_whole = True
            return
        except fleet_source.SourceError as error:
            self._on_failure(error)
            return
        self._needs_whole = False
        self._turn.on_success()
        if self._was_reading is not True:
            LOG.info('store regained', extra={'revision': reading.revision})
        self._was_reading = True
        if reading.unusable_names:
            LOG.warning(
                'entries that describe no server',
                extra={'names': reading.unusable_names[:MAX_NAMED_PEERS]},
            )
        has_changed = self._view.apply_reading(reading, started_ms)
        self._tell_peers(everyone=has_changed)

    def _call_source(self, started_ms):
        self._counters.source_calls += 1
        try:
            if self._needs_whole or self._view.read_revision == 0:
                return self._source.read_all()
            return self._source.read_changes(self._view.read_revision)
        finally:
            self._counters.latencies['source_call_ms'].add(
                self._clock.monotonic_ms() - started_ms
            )

    def _on_failure(self, error):
        self._counters.source_calls_failed += 1
        # Entries may lapse unseen while the store is away.
        self._needs_whole = True
        self._turn.on_failure()
        if self._was_reading is not False:
            LOG.warning('store lost', extra={'error': error})
        self._was_reading = False

    # Peers

    def run_greetings(self):
        """Greet agents and balancers again and again, for ever."""
        while True:
            self.greet()
            self._clock.sleep_until(
                self._clock.monotonic_ms() + GREETING_INTERVAL_MS
            )

    def greet(self):
        """Greet a few balancers."""
        self._forget_silent_peers()
        ips = set(self._peers) | set(self._settings.seed_ips)
        ips.discard(self._settings.peer_address.ip)
        chosen = self._rng.sample(
            sorted(ips), min(len(ips), MAX_GREETED_PEERS)
        )
        greeting = flow_datagrams.encode(self._greeting(wants_reply=True))
        for ip in chosen:
            self._send(greeting, (ip, self._settings.peer_address.port))

    def greet_agents(self, loads, agent_ips):
        """Ask all agents for load reports, as often as the fleet allows.

        Args:
            loads: ServerLoads, told how long a report holds.
            agent_ips: Addresses of the agents.
        """
        interval_ms = max(
            GREETING_INTERVAL_MS,
            1_000 * len(agent_ips) / MAX_AGENT_GREETINGS_PER_S,
        )
        loads.report_expires_ms = GREETINGS_BEFORE_EXPIRY * interval_ms
        now_ms = self._clock.monotonic_ms()
        if now_ms - self._greeted_agents_ms < interval_ms:
            return
        self._greeted_agents_ms = now_ms
        self._agent_interval_ms = int(interval_ms)
        self.greet_agents_now(agent_ips)

    def greet_agents_now(self, agent_ips):
        """Ask agents for their load reports."""
        greeting = flow_datagrams.encode(
            flow_datagrams.AgentGreeting(
                self._settings.name, self._agent_interval_ms
            )
        )
        for ip in agent_ips:
            self._send(greeting, (ip, self._settings.agent_port))

    def _tell_peers(self, *, everyone):
        ips = list(self._peers)
        if len(ips) > MAX_TOLD_PEERS and not everyone:
            ips = self._rng.sample(ips, MAX_TOLD_PEERS)
        greeting = flow_datagrams.encode(self._greeting(wants_reply=False))
        for ip in ips:
            self._send(greeting, (ip, self._settings.peer_address.port))

    def _greeting(self, *, wants_reply):
        age_ms = self._view.age_ms()
        known = list(self._peers)
        return flow_datagrams.BalancerGreeting(
            self._settings.name,
            self._view.configuration.version,
            self._view.content_revision,
            self._view.read_revision,
            -1 if age_ms is None else int(age_ms),
            self._turn.is_reading,
            self.is_leaving,
            wants_reply,
            self._rng.sample(known, min(len(known), MAX_NAMED_PEERS)),
        )

    def on_greeting(self, greeting, ip):
        """Note what another balancer knows.

        Args:
            greeting: BalancerGreeting.
            ip: Address that it came from.
        """
        now_ms = self._clock.monotonic_ms()
        if ip not in self._peers and len(self._peers) >= MAX_PEERS:
            return
        if ip not in self._peers:
            LOG.info('balancer met', extra={'peer': greeting.name, 'ip': ip})
        self._peers[ip] = now_ms
        is_reader = greeting.is_reading and not greeting.is_leaving
        self._turn.on_peer(greeting.name, is_reader)
        if greeting.is_leaving:
            self._peers.pop(ip, None)
        self._meet(greeting.peer_ips)
        if greeting.wants_reply:
            reply = self._greeting(wants_reply=False)
            self._send(
                flow_datagrams.encode(reply),
                (ip, self._settings.peer_address.port),
            )
        self._compare(greeting, ip, now_ms)

    def _meet(self, ips):
        own_ip = self._settings.peer_address.ip
        greeting = None
        for ip in ips:
            if type(ip) is not str or ip in self._peers or ip == own_ip:
                continue
            greeting = greeting or flow_datagrams.encode(
                self._greeting(wants_reply=True)
            )
            self._send(greeting, (ip, self._settings.peer_address.port))

    def _compare(self, greeting, ip, now_ms):
        view = self._view
        if (
            greeting.configuration_version > view.configuration.version
            or greeting.content_revision > view.content_revision
        ):
            self._pull_ip = ip
            self._pull_wanted.set()
        elif (
            greeting.confirmed_age_ms >= 0
            and greeting.configuration_version == view.configuration.version
            and greeting.content_revision == view.content_revision
        ):
            view.confirm(
                now_ms - greeting.confirmed_age_ms, greeting.read_revision
            )

    def run_puller(self):
        """Ask the peers that know more, one after the other, for ever."""
        while True:
            self._pull_wanted.wait()
            self._pull_wanted.clear()
            if self._pull(self._pull_ip):
                self._tell_peers(everyone=False)

    def _forget_silent_peers(self):
        now_ms = self._clock.monotonic_ms()
        silent = [
            ip
            for ip, heard_ms in self._peers.items()
            if now_ms - heard_ms > PEER_KEEP_MS
        ]
        for ip in silent:
            del self._peers[ip]
            LOG.info('balancer lost', extra={'ip': ip})
