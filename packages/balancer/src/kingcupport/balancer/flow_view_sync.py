"""Synchronizes a balancer's view with the store and with its peers."""

import logging
import math

from gevent import event

from kingcupport.flows import fleet_source
from kingcupport.flows import store_revision
from kingcupport.wire import flow_datagrams

LOG = logging.getLogger(__name__)

# Interval of the greetings to peers and, in small fleets, to agents.
GREETING_INTERVAL_MS = 500
# Peers that are greeted in each round: 6 greetings a second of 239 bytes are
# 1.4 KB/s, and the replies take as much.
MAX_GREETED_PEERS = 3
# Peers to which a read or a pull is announced; a read that has found a change
# is announced to all.
MAX_ANNOUNCED_PEERS = 32
# Limit on the greetings to agents; larger fleets are greeted less often.
MAX_AGENT_GREETINGS_PER_S = 32
# A load report expires after this many greeting intervals without an answer.
GREETINGS_BEFORE_EXPIRY = 2.6
# A peer that is silent for longer is forgotten; seeds are still greeted.
PEER_RETENTION_MS = 10_000
# Peers listed in a greeting.
MAX_LISTED_PEERS = 16
# Greetings of further balancers are ignored.
MAX_PEERS = 1_024
# A greeting that would confirm the view by this much later than before
# is worth a question to its sender.
MIN_CONFIRMATION_GAIN_MS = 250
# The read schedule is checked at least this often, because confirmations from
# peers postpone the next read.
SCHEDULE_CHECK_MS = 100


class FlowViewSync:
    """Reads the store as scheduled and exchanges views with peers.

    Balancers greet each other with the revisions of their views. A balancer
    whose view is older pulls the difference; one whose view has the same
    contents takes over the confirmation. Equal revisions alone do not show
    that: of two views, one may have read the store while entries were missing.
    Only the answer to an own greeting confirms the view, as of the time at
    which that greeting was sent.

    Args:
        settings: FlowBalancerSettings.
        clock: Clock.
        rng: random.Random.
        view: FleetView.
        schedule: ReadSchedule.
        source: FleetSource.
        pull: ``pull(ip)`` fetches a peer's view; returns whether that
            succeeded.
        counters: FlowCounters.
        send: ``send(data, address)`` on the socket for peers and agents.

    Attributes:
        is_leaving: Whether this balancer is stopping.
    """

    def __init__(
        self,
        settings,
        clock,
        rng,
        view,
        schedule,
        source,
        pull,
        counters,
        send,
    ):
        self._settings = settings
        self._clock = clock
        self._rng = rng
        self._view = view
        self._schedule = schedule
        self._source = source
        self._pull = pull
        self._counters = counters
        self._send = send
        self._needs_full_read = True
        self._was_source_available = None
        self._peers = {}
        self._greeted_agents_ms = 0.0
        self._agent_interval_ms = GREETING_INTERVAL_MS
        self._read_requested = event.Event()
        self._pull_requested = event.Event()
        self._pull_ip = None
        self.is_leaving = False

    @property
    def peer_ips(self):
        """Addresses of the balancers that have sent a greeting recently."""
        return list(self._peers)

    def set_seeds(self, ips):
        """Set the addresses that are greeted in addition to known peers."""
        self._settings.seed_ips = tuple(ips)

    # Reading

    def run_reader(self):
        """Read the store whenever a read is due; never returns."""
        while True:
            if not self.read_if_due():
                wait_ms = min(
                    self._schedule.next_read_ms() - self._clock.monotonic_ms(),
                    SCHEDULE_CHECK_MS,
                )
                self._read_requested.clear()
                self._read_requested.wait(max(0.0, wait_ms) / 1000)

    def read_if_due(self):
        """Read the store if the schedule says so.

        Returns:
            Whether the store was called.
        """
        now_ms = self._clock.monotonic_ms()
        if self._schedule.next_read_ms() > now_ms:
            return False
        self._schedule.on_start()
        self._read(now_ms)
        return True

    def request_read(self, time_ms):
        """Read soon, because a decision needs a confirmation.

        Args:
            time_ms: The read has to start after this time, on the monotonic
                clock.
        """
        self._view.confirmation.request(time_ms)
        self._read_requested.set()

    def _read(self, started_ms):
        try:
            update = self._call_source(started_ms)
            if update.is_full_read:
                self._log_full_read(update)
            has_changed = self._view.apply_update(update, started_ms)
        except fleet_source.HistoryLostError as error:
            LOG.info('store lost its history', extra={'error': error})
            self._needs_full_read = True
            return
        except fleet_source.SourceError as error:
            self._on_failure(error)
            return
        self._needs_full_read = False
        self._schedule.on_success()
        if self._was_source_available is not True:
            LOG.info(
                'store regained',
                extra={'revision': store_revision.to_text(update.revision)},
            )
        self._was_source_available = True
        self._announce_view(to_all=has_changed)

    def _log_full_read(self, update):
        configuration = update.configuration
        LOG.info(
            'store read in full',
            extra={
                'revision': store_revision.to_text(update.revision),
                'previous_revision': store_revision.to_text(
                    self._view.read_revision
                ),
                'version': configuration and configuration.version,
                'previous_version': self._view.configuration.version,
                'servers': len(update.servers),
            },
        )

    def _call_source(self, started_ms):
        self._counters.source_calls += 1
        settle_due_ms = self._view.settle_due_ms
        try:
            if (
                self._needs_full_read
                or self._view.read_revision == 0
                or (settle_due_ms is not None and started_ms >= settle_due_ms)
            ):
                return self._source.read_all()
            return self._source.read_changes(self._view.read_revision)
        finally:
            self._counters.latencies['source_call_ms'].add(
                self._clock.monotonic_ms() - started_ms
            )

    def _on_failure(self, error):
        self._counters.source_calls_failed += 1
        # The changes may not include entries that expire during an outage of
        # the store.
        self._needs_full_read = True
        self._schedule.on_failure()
        if self._was_source_available is not False:
            LOG.warning('store lost', extra={'error': error})
        self._was_source_available = False

    # Peers

    def run_greetings(self):
        """Greet balancers at the greeting interval; never returns."""
        while True:
            self.greet()
            self._clock.sleep_until(
                self._clock.monotonic_ms() + GREETING_INTERVAL_MS
            )

    def greet(self):
        """Greet a random sample of the known balancers and seeds."""
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
        """Request load reports from all agents if a greeting is due.

        The interval grows with the fleet; the expiry of the reports is set
        accordingly.

        Args:
            loads: ServerLoads, whose ``report_expires_ms`` is set.
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
        """Request load reports from agents at once.

        Args:
            agent_ips: Addresses of the agents.
        """
        greeting = flow_datagrams.encode(
            flow_datagrams.AgentGreeting(
                self._settings.name, self._agent_interval_ms
            )
        )
        for ip in agent_ips:
            self._send(greeting, (ip, self._settings.agent_port))

    def _announce_view(self, *, to_all):
        ips = list(self._peers)
        if len(ips) > MAX_ANNOUNCED_PEERS and not to_all:
            ips = self._rng.sample(ips, MAX_ANNOUNCED_PEERS)
        greeting = flow_datagrams.encode(self._greeting(wants_reply=False))
        for ip in ips:
            self._send(greeting, (ip, self._settings.peer_address.port))

    def _greeting(self, *, wants_reply, echo_ms=-1):
        age_ms = self._view.confirmation.age_ms()
        known = list(self._peers)
        return flow_datagrams.BalancerGreeting(
            self._settings.name,
            self._view.configuration.version,
            self._view.content_revision,
            self._view.digest,
            self._view.read_revision,
            -1 if age_ms is None else math.ceil(age_ms),
            self._view.confirmation.can_vouch,
            self._schedule.is_reading,
            self.is_leaving,
            wants_reply,
            int(self._clock.monotonic_ms()),
            echo_ms,
            self._rng.sample(known, min(len(known), MAX_LISTED_PEERS)),
        )

    def on_greeting(self, greeting, ip):
        """Handle a greeting of another balancer.

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
        self._schedule.on_peer_greeting(greeting.name, is_reader)
        if greeting.is_leaving:
            self._peers.pop(ip, None)
        self._greet_unknown_peers(greeting.peer_ips)
        if greeting.wants_reply:
            self._send_greeting(ip, echo_ms=greeting.sent_ms)
        self._compare_views(greeting, ip, now_ms)

    def _greet_unknown_peers(self, ips):
        own_ip = self._settings.peer_address.ip
        greeting = None
        for ip in ips:
            if type(ip) is not str or ip in self._peers or ip == own_ip:
                continue
            greeting = greeting or flow_datagrams.encode(
                self._greeting(wants_reply=True)
            )
            self._send(greeting, (ip, self._settings.peer_address.port))

    def _compare_views(self, greeting, ip, now_ms):
        view = self._view
        if (
            greeting.configuration_version > view.configuration.version
            or greeting.content_revision > view.content_revision
        ):
            self._pull_ip = ip
            self._pull_requested.set()
        elif (
            greeting.confirmed_age_ms >= 0
            and greeting.configuration_version == view.configuration.version
            and greeting.content_revision == view.content_revision
            and greeting.content_digest == view.digest
        ):
            self._take_confirmation(greeting, ip, now_ms)

    def _take_confirmation(self, greeting, ip, now_ms):
        """Take over a confirmation if the greeting answers a question.

        A greeting may have waited for long before it is handled, so its age is
        known only from the time at which it was asked for.
        """
        view = self._view
        if greeting.echo_ms < 0:
            if (
                view.confirmation.confirmed_ms is None
                or now_ms
                - greeting.confirmed_age_ms
                - view.confirmation.confirmed_ms
                >= MIN_CONFIRMATION_GAIN_MS
            ):
                self._send_greeting(ip, wants_reply=True)
        elif greeting.echo_ms <= now_ms:
            view.confirm(
                greeting.echo_ms - greeting.confirmed_age_ms,
                greeting.read_revision,
                is_complete=greeting.is_complete,
            )

    def _send_greeting(self, ip, *, wants_reply=False, echo_ms=-1):
        greeting = self._greeting(wants_reply=wants_reply, echo_ms=echo_ms)
        self._send(
            flow_datagrams.encode(greeting),
            (ip, self._settings.peer_address.port),
        )

    def run_puller(self):
        """Pull views from peers that are ahead; never returns."""
        while True:
            self._pull_requested.wait()
            self.pull_if_requested()

    def pull_if_requested(self):
        """Pull the view of the peer that was last seen to be ahead."""
        if not self._pull_requested.is_set():
            return
        self._pull_requested.clear()
        if self._pull(self._pull_ip):
            self._announce_view(to_all=False)

    def _forget_silent_peers(self):
        now_ms = self._clock.monotonic_ms()
        silent = [
            ip
            for ip, last_greeting_ms in self._peers.items()
            if now_ms - last_greeting_ms > PEER_RETENTION_MS
        ]
        for ip in silent:
            del self._peers[ip]
            LOG.info('balancer lost', extra={'ip': ip})
