"""Rebuild of an agent's claim index after changes of the fleet view."""

import logging
import math

import gevent

from kingcupport.common import errors
from kingcupport.control import peer_caller
from kingcupport.requests import claim_comparison
from kingcupport.requests import claim_fences
from kingcupport.requests import claim_incarnations
from kingcupport.requests import claim_index
from kingcupport.requests import claim_instance_list
from kingcupport.requests import claim_losses
from kingcupport.requests import claim_placement
from kingcupport.requests import claim_record
from kingcupport.wire import claim_messages

LOG = logging.getLogger(__name__)

STEP_INTERVAL_MS = 100
INSTANCE_CHECK_INTERVAL_MS = 1000
LIST_CALL_TIMEOUT_MS = 500
# After more view changes than this without a complete index, the agent grants
# no claims until the index is complete again.
MAX_VIEWS_SINCE_COMPLETE = 16


class ClaimRebuild:
    """Decides which keys this agent may grant and completes its index.

    A claim takes two processes that agree on the key's agent: the key's agent
    and the holder or, if these are the same, the key's agent and the agent
    that keeps a copy. An agent's index is complete for a view once all hosts
    of the previous and the current view have replied under exactly that view.
    Views never go back, so a process that has replied makes no claim under an
    earlier view. At most one host that the instance list does not report as
    gone may fail to reply: on its own it finds no second process for a claim.

    Args:
        context: ClaimContext.
        index: ClaimIndex.
        first_observed_revision: First fleet revision that this process saw
            in force.

    Attributes:
        view: ClaimView of this agent.
        epoch: Incremented whenever the view changes, a pause is detected or
            this agent replies to a peer's claim list request. A grant that
            was requested in an earlier epoch is invalid.
        participating: Whether all required hosts have replied for some view
            since the process started.
        draining: Whether this agent has begun its departure.
    """

    def __init__(self, context, index, first_observed_revision):
        self._context = context
        self._index = index
        self._process_start_ms = context.now_ms()
        self._fences = claim_fences.ClaimFences()
        self._incarnations = claim_incarnations.ClaimIncarnations()
        self._losses = claim_losses.ClaimLosses(context.clock)
        self._previous_hosts = set()
        self._confirmed_peers = set()
        self._established = False
        self._views_since_complete = None
        self._complete_from_ms = None
        self._next_instance_check_ms = 0
        self._comparison = claim_comparison.ClaimComparison()
        self.participating = False
        self.draining = False
        self.epoch = 0

        fleet = context.registry.fleet
        members = claim_placement.members_of(fleet, context.service)
        self.view = claim_placement.make_claim_view(members, {})
        self._required_peers = set(self.view.active) - {context.name}
        added_revision = dict(members).get(context.name, math.inf)
        if first_observed_revision >= added_revision:
            self._losses.own_deadline_ms = (
                self._process_start_ms + context.retention_ms
            )
        context.registry.add_accept_callback(self._on_accept)

    @property
    def paused(self):
        """Whether too few peers have confirmed the view since a pause."""
        return self._comparison.open

    @property
    def active(self):
        """Whether this agent is an unfenced host of its own view."""
        return self._context.name in self.view.active

    @property
    def complete(self):
        """Whether the index has all claims in force for this agent's keys."""
        return self._complete_from_ms is not None and (
            self._context.now_ms() >= self._complete_from_ms
        )

    def key_agent(self, key):
        """Return the name of a key's agent, or None if no host is active."""
        return claim_placement.find_key_agent(key, self.view.active)

    def may_hold_claims(self):
        """Return whether this agent may hold claims and keep copies."""
        return (
            self.participating
            and self.active
            and not self.paused
            and not self.draining
        )

    def may_grant(self, key):
        """Return whether this agent may grant a claim on a key now.

        While the index is incomplete, this agent may still grant the keys that
        were its own in every view since the index was last complete.
        """
        name = self._context.name
        if not self.may_hold_claims() or self.key_agent(key) != name:
            return False
        if self.complete:
            return True
        return self._views_since_complete is not None and all(
            claim_placement.find_key_agent(key, active) == name
            for active in self._views_since_complete
        )

    def on_pause(self, late_ms):
        """Block claims until enough peers have confirmed the view."""
        LOG.warning('claim_pause', extra={'late_ms': round(late_ms)})
        self._comparison.begin()
        self.epoch += 1

    def run(self):
        """Run ``step`` periodically; to be spawned as a task."""
        clock = self._context.clock
        while True:
            try:
                self.step()
            except errors.KingcupportError as error:
                LOG.error('claim_rebuild', extra={'reason': str(error)})
            clock.sleep_until(clock.monotonic_ms() + STEP_INTERVAL_MS)

    def step(self):
        """Fence hosts listed as gone and query peers that have not replied."""
        if not self.active or self.draining:
            return
        self._fence_gone_hosts()
        if self.paused:
            missing = set(self.view.active) - {self._context.name}
        elif self._complete_from_ms is None:
            missing = self._required_peers - self._confirmed_peers
        else:
            return
        tasks = [
            gevent.spawn(self._request_claim_list, peer)
            for peer in sorted(missing)
        ]
        gevent.joinall(tasks)
        self._update_completeness()

    def merge_fences(self, generations):
        """Adopt higher fence generations and update the view."""
        newer = self._fences.merge(generations)
        if not newer:
            return
        self._rejoin_if_fenced()
        deadline_ms = self._context.now_ms() + self._context.retention_ms
        for name in newer:
            if not self._fences.absent(name):
                self._losses.renew_deadline(name, deadline_ms)
        self._change_view(self.view.members)

    def make_list_reply(self, message):
        """Return the ClaimListReply for a peer's ClaimListRequest."""
        context = self._context
        self.merge_fences(message.fences)
        self._checkpoint_if_complete()
        self.epoch += 1
        known = self._incarnations.observe(message.sender, message.incarnation)
        asked_view = claim_placement.make_claim_view(
            map(tuple, message.members), self.fences()
        )
        records, more = self._index.records_for_agent(
            message.sender, asked_view.active, message.after_key
        )
        now_ms = context.now_ms()
        return claim_messages.ClaimListReply(
            sender=context.name,
            revision=context.revision,
            incarnation=context.incarnation,
            members=[list(member) for member in self.view.members],
            fences=self.fences(),
            claims=[claim_record.encode_record(r, now_ms) for r in records],
            more=more,
            complete=self._complete_from_ms is not None,
            established=self.participating,
            loss_ms=claim_record.remaining_ms(
                self._own_loss_deadline_ms(), now_ms
            ),
            blind_ms=claim_record.remaining_ms(
                self._complete_from_ms or 0, now_ms
            ),
            losses=self._losses.remaining(),
            unconfirmed=sorted(self._unconfirmed()),
            departed=sorted(self._fences.departed),
            known_incarnation=known,
        )

    def fences(self):
        """Return the known fence generations by host name."""
        return self._fences.generations()

    def begin_departure(self):
        """Fence this agent and stop granting and claiming keys.

        Returns:
            Whether this process lost no claims, so that its records can
            replace its replies to claim list requests.
        """
        lost_no_claims = (
            self.participating and not self._losses.own_deadline_ms
        )
        self.draining = True
        if not self._fences.absent(self._context.name):
            self._fences.advance(self._context.name)
        self._change_view(self.view.members)
        return lost_no_claims

    def on_final_handover(self, message):
        """Adopt the fence of an agent that has handed its records over.

        Its records replace its reply to a claim list request only if it lost
        no claims and distributed the records among the same hosts.

        Args:
            message: Final ClaimHandover, with ``farewell`` set.
        """
        fences = message.fences
        self.merge_fences(fences)
        members = set(map(tuple, message.members))
        if message.in_order and members == set(self.view.members):
            self._fences.record_departure(
                message.sender, fences, message.delivered
            )
        self._update_completeness()

    def _own_loss_deadline_ms(self):
        # A process whose host is not in the fleet cannot know whether it is
        # the host's first process or was restarted after a withdrawal.
        if self._context.name in self.view.names or self.participating:
            return self._losses.own_deadline_ms
        return self._process_start_ms + self._context.retention_ms

    def _unconfirmed(self):
        if self._complete_from_ms is not None:
            return set()
        return (
            self._required_peers
            - self._confirmed_peers
            - self._fences.handed_over
        )

    def _rejoin_if_fenced(self):
        if self._fences.absent(self._context.name) and not self.draining:
            self._views_since_complete = None
            self._fences.advance(self._context.name)

    def _on_accept(self, previous_fleet, fleet):
        self._change_view(
            claim_placement.members_of(fleet, self._context.service)
        )

    def _change_view(self, members):
        view = claim_placement.make_claim_view(members, self.fences())
        if view == self.view:
            return
        self._checkpoint_if_complete()
        earlier_hosts = set(self.view.active)
        if self._complete_from_ms is None:
            earlier_hosts |= self._previous_hosts | self._required_peers
        name = self._context.name
        if view.member(name) != self.view.member(name):
            # This host was withdrawn and added again. Two release notes may be
            # observed as one change, so that the host is in both views.
            self._views_since_complete = None
        self.view = view
        self.epoch += 1
        self._previous_hosts = earlier_hosts
        self._required_peers = (earlier_hosts | set(self.view.active)) - {name}
        self._confirmed_peers = set()
        self._established = self.participating
        self._complete_from_ms = None
        if self._views_since_complete is not None:
            self._views_since_complete.append(self.view.active)
            if (
                not self.active
                or len(self._views_since_complete) > MAX_VIEWS_SINCE_COMPLETE
            ):
                self._views_since_complete = None

    def _fence_gone_hosts(self):
        now_ms = self._context.now_ms()
        if now_ms < self._next_instance_check_ms:
            return
        self._next_instance_check_ms = now_ms + INSTANCE_CHECK_INTERVAL_MS
        states = self._context.instance_list.states()
        if states.get(self._context.name) == claim_instance_list.GONE:
            return
        gone = self._fences.generations_to_fence(states, self.view.active)
        if gone:
            LOG.warning('claim_fence', extra={'hosts': ' '.join(sorted(gone))})
            self.merge_fences(gone)

    def _request_claim_list(self, peer):
        context = self._context
        asked_view = self.view
        token, after_key = self._comparison.token, ''
        while True:
            request = claim_messages.ClaimListRequest(
                sender=context.name,
                revision=context.revision,
                incarnation=context.incarnation,
                members=[list(member) for member in asked_view.members],
                fences=self.fences(),
                after_key=after_key,
            )
            deadline_ms = context.now_ms() + LIST_CALL_TIMEOUT_MS
            try:
                reply = context.caller.call(peer, request, deadline_ms)
                for plain in reply.claims:
                    now_ms = context.now_ms()
                    record = claim_record.decode_record(plain, now_ms)
                    self._index.merge(record)
            except peer_caller.PeerError:
                return
            except (claim_index.ClaimIndexFullError, ValueError) as error:
                LOG.error('claim_rebuild', extra={'reason': str(error)})
                return
            self.merge_fences(reply.fences)
            if self.view != asked_view:
                return
            if not reply.more:
                self._handle_list_reply(peer, reply, token)
                return
            after_key = reply.claims[-1][0]

    def _handle_list_reply(self, peer, reply, token):
        if reply.known_incarnation != self._context.incarnation:
            self._record_restart()
        answered_view = claim_placement.make_claim_view(
            map(tuple, reply.members), reply.fences
        )
        if answered_view != self.view:
            return
        if self._peer_may_lack_copies(peer, reply):
            return
        self._incarnations.observe(peer, reply.incarnation)
        self._confirmed_peers.add(peer)
        self._established |= reply.established
        for name in reply.departed:
            self._fences.record_departure(name, reply.fences, True)
        self._losses.record_peer_losses(peer, reply.loss_ms, reply.blind_ms)
        self._losses.merge_reported_losses(
            reply.losses, self._confirmed_peers | {self._context.name}
        )
        self._required_peers |= set(map(str, reply.unconfirmed))
        self._required_peers -= {self._context.name}
        self._comparison.add(peer, token)

    def _peer_may_lack_copies(self, peer, reply):
        """Return whether a peer may lack claims that this process lost.

        A new host whose index is incomplete may not have received them yet.
        """
        return (
            self._losses.own_deadline_ms > self._context.now_ms()
            and peer in self.view.names
            and not reply.complete
            and not reply.loss_ms
        )

    def _checkpoint_if_complete(self):
        """Restart the view history at the current view if complete."""
        if self.complete:
            self._views_since_complete = [self.view.active]
            self._losses.own_deadline_ms = 0

    def _record_restart(self):
        """Record that this process was restarted and read an outdated fleet.

        It could not detect the restart from the revision that it first saw.
        """
        if not self._losses.own_deadline_ms and not self.participating:
            self._losses.own_deadline_ms = (
                self._process_start_ms + self._context.retention_ms
            )
            self._confirmed_peers = set()

    def _update_completeness(self):
        self._comparison.end(len(self.view.active) - 1)
        if self._complete_from_ms is not None or not self.active:
            return
        lacks_second_host = (
            len(self.view.names) > 1 and len(self.view.active) < 2
        )
        if lacks_second_host or not self._all_required_confirmed():
            return
        # Claims of a single host had no second copy. Hosts that are all new or
        # restarted do not know which other hosts they would have to query.
        was_single_host = len(self._previous_hosts or self.view.active) == 1
        had_single_copies = was_single_host or not self._established
        self.participating = True
        self._complete_from_ms = self._losses.lost_claims_expiry_ms(
            had_single_copies
        )

    def _all_required_confirmed(self):
        states = self._context.instance_list.states().items()
        gone = {n for n, s in states if s == claim_instance_list.GONE}
        absent = set(self.view.names) - set(self.view.active)
        withdrawn = self._required_peers - set(self.view.names)
        missing = (
            self._required_peers
            - self._confirmed_peers
            - self._fences.handed_over
        )
        lost = missing & (absent | (withdrawn & gone))
        one_withdrawn = len(missing) == 1 and missing <= withdrawn
        if one_withdrawn and len(self._previous_hosts) > 1:
            lost = missing
        if missing - lost:
            return False
        deadline_ms = self._context.now_ms() + self._context.retention_ms
        for name in missing:
            self._losses.record_missing_host(name, deadline_ms)
        return True
