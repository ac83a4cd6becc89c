"""Which keys an agent may grant, and how its index becomes complete."""

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
ASK_TIMEOUT_MS = 500
# Views kept since the index was last complete. With more, the agent asks its
# peers before it grants anything.
MAX_OWNED_VIEWS = 16


class ClaimRebuild:
    """View of the service's hosts and completeness of the claim index.

    A claim is made by two processes that both take the same host for the
    key's agent: the key's agent and the holder, or the key's agent and the
    one that keeps a copy. A view is complete at an agent when all hosts of
    the previous and the present view have answered under exactly that view.
    Views never go back, so an answered process makes no claim under an
    earlier one. At most one host may be missing unless the instance list
    says that it is gone; alone it finds no second process for a claim.

    ``epoch`` changes whenever a peer was answered or the view changed. A
    grant that was asked for in an earlier epoch is void.

    Args:
        context: ClaimContext.
        index: ClaimIndex.
        first_observed_revision: Revision that the process first observed.
    """

    def __init__(self, context, index, first_observed_revision):
        self._context = context
        self._index = index
        self._started_ms = context.now_ms()
        self._fences = claim_fences.ClaimFences()
        self._incarnations = claim_incarnations.ClaimIncarnations()
        self._losses = claim_losses.ClaimLosses(context.clock)
        self._previous = set()
        self._confirmed = set()
        self._established = False
        self._owned_views = None
        self._complete_from_ms = None
        self._next_instance_check_ms = 0
        self._comparison = claim_comparison.ClaimComparison()
        self.participating = False
        self.draining = False
        self.epoch = 0

        fleet = context.keeper.fleet
        members = claim_placement.members_of(fleet, context.service)
        self.view = claim_placement.make_claim_view(members, {})
        self._required = set(self.view.active) - {context.name}
        added_revision = dict(members).get(context.name, math.inf)
        if first_observed_revision >= added_revision:
            self._losses.own_ms = self._started_ms + context.retention_ms
        context.keeper.on_accept(self._on_accept)

    @property
    def paused(self):
        """Whether a pause was noticed and no peers were compared since."""
        return self._comparison.open

    @property
    def active(self):
        """Whether this agent counts among the hosts of its own view."""
        return self._context.name in self.view.active

    @property
    def complete(self):
        """Whether the index holds every claim of this agent's keys."""
        return self._complete_from_ms is not None and (
            self._context.now_ms() >= self._complete_from_ms
        )

    def key_agent(self, key):
        """Return the name of a key's agent, or None without hosts."""
        return claim_placement.find_key_agent(key, self.view.active)

    def may_take_part(self):
        """Whether this agent may hold claims or keep copies."""
        return (
            self.participating
            and self.active
            and not self.paused
            and not self.draining
        )

    def may_grant(self, key):
        """Whether this agent may grant a claim on a key now.

        Keys that were this agent's in every view since its index was last
        complete need no new answers.
        """
        name = self._context.name
        if not self.may_take_part() or self.key_agent(key) != name:
            return False
        if self.complete:
            return True
        return self._owned_views is not None and all(
            claim_placement.find_key_agent(key, active) == name
            for active in self._owned_views
        )

    def on_pause(self, late_ms):
        """Block claims until the view was compared with the peers."""
        LOG.warning('claim_pause', extra={'late_ms': round(late_ms)})
        self._comparison.begin()
        self.epoch += 1

    def run(self):
        """Ask peers whenever something is missing; to be spawned."""
        clock = self._context.clock
        while True:
            try:
                self.step()
            except errors.KingcupportError as error:
                LOG.error('claim_rebuild', extra={'reason': str(error)})
            clock.sleep_until(clock.monotonic_ms() + STEP_INTERVAL_MS)

    def step(self):
        """Check the instance list and ask those whose answer is missing."""
        if not self.active or self.draining:
            return
        self._fence_gone_hosts()
        if self.paused:
            missing = set(self.view.active) - {self._context.name}
        elif self._complete_from_ms is None:
            missing = self._required - self._confirmed
        else:
            return
        tasks = [gevent.spawn(self._ask, peer) for peer in sorted(missing)]
        gevent.joinall(tasks)
        self._evaluate()

    def learn_fences(self, generations):
        """Take over higher fence generations from a peer."""
        newer = self._fences.learn(generations)
        if not newer:
            return
        self._rejoin_when_fenced()
        deadline_ms = self._context.now_ms() + self._context.retention_ms
        for name in newer:
            if not self._fences.absent(name):
                self._losses.note_return(name, deadline_ms)
        self._change_view(self.view.members)

    def answer_list(self, message):
        """Return the ClaimListReply for a peer's ClaimListRequest."""
        context = self._context
        self.learn_fences(message.fences)
        self._note_complete()
        self.epoch += 1
        known = self._incarnations.note(message.sender, message.incarnation)
        asked_view = claim_placement.make_claim_view(
            map(tuple, message.members), self.fences()
        )
        records, more = self._index.concerning(
            message.sender, asked_view.active, message.after_key
        )
        now_ms = context.now_ms()
        return claim_messages.ClaimListReply(
            sender=context.name,
            revision=context.revision,
            incarnation=context.incarnation,
            members=[list(member) for member in self.view.members],
            fences=self.fences(),
            claims=[claim_record.record_to_plain(r, now_ms) for r in records],
            more=more,
            complete=self._complete_from_ms is not None,
            established=self.participating,
            loss_ms=claim_record.remaining_ms(self._own_loss_ms(), now_ms),
            blind_ms=claim_record.remaining_ms(
                self._complete_from_ms or 0, now_ms
            ),
            losses=self._losses.remaining(),
            unconfirmed=sorted(self._unconfirmed()),
            departed=sorted(self._fences.departed),
            known_incarnation=known,
        )

    def fences(self):
        """Return the known fence generation by host name."""
        return self._fences.generations()

    def begin_farewell(self):
        """Fence this agent itself; it grants and claims nothing from now.

        Returns:
            Whether this process lost no claims, so that its records make up
            for it.
        """
        in_order = self.participating and not self._losses.own_ms
        self.draining = True
        if not self._fences.absent(self._context.name):
            self._fences.advance(self._context.name)
        self._change_view(self.view.members)
        return in_order

    def on_farewell(self, message):
        """Take over a draining agent's fence.

        Only the records of an agent that lost none itself and that placed
        them among the same hosts make up for its absence.

        Args:
            message: ClaimHandover that is a farewell.
        """
        fences = message.fences
        self.learn_fences(fences)
        members = set(map(tuple, message.members))
        if message.in_order and members == set(self.view.members):
            self._fences.note_left(message.sender, fences, message.delivered)
        self._evaluate()

    def _own_loss_ms(self):
        # A process whose host is not in the fleet cannot tell whether it is
        # the first one there, or was restarted after its withdrawal.
        if self._context.name in self.view.names or self.participating:
            return self._losses.own_ms
        return self._started_ms + self._context.retention_ms

    def _unconfirmed(self):
        if self._complete_from_ms is not None:
            return set()
        return self._required - self._confirmed - self._fences.left

    def _rejoin_when_fenced(self):
        if self._fences.absent(self._context.name) and not self.draining:
            self._owned_views = None
            self._fences.advance(self._context.name)

    def _on_accept(self, previous_fleet, fleet):
        self._change_view(
            claim_placement.members_of(fleet, self._context.service)
        )

    def _change_view(self, members):
        view = claim_placement.make_claim_view(members, self.fences())
        if view == self.view:
            return
        self._note_complete()
        earlier = set(self.view.active)
        if self._complete_from_ms is None:
            earlier |= self._previous | self._required
        name = self._context.name
        if view.member(name) != self.view.member(name):
            # Withdrawn and added again, maybe in two notes seen as one.
            self._owned_views = None
        self.view = view
        self.epoch += 1
        self._previous = earlier
        self._required = (earlier | set(self.view.active)) - {name}
        self._confirmed = set()
        self._established = self.participating
        self._complete_from_ms = None
        if self._owned_views is not None:
            self._owned_views.append(self.view.active)
            if not self.active or len(self._owned_views) > MAX_OWNED_VIEWS:
                self._owned_views = None

    def _fence_gone_hosts(self):
        now_ms = self._context.now_ms()
        if now_ms < self._next_instance_check_ms:
            return
        self._next_instance_check_ms = now_ms + INSTANCE_CHECK_INTERVAL_MS
        states = self._context.instance_list.states()
        if states.get(self._context.name) == claim_instance_list.GONE:
            return
        gone = self._fences.newly_gone(states, self.view.active)
        if gone:
            LOG.warning('claim_fence', extra={'hosts': ' '.join(sorted(gone))})
            self.learn_fences(gone)

    def _ask(self, peer):
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
            deadline_ms = context.now_ms() + ASK_TIMEOUT_MS
            try:
                reply = context.caller.call(peer, request, deadline_ms)
                for plain in reply.claims:
                    now_ms = context.now_ms()
                    record = claim_record.record_from_plain(plain, now_ms)
                    self._index.merge(record)
            except peer_caller.PeerError:
                return
            except (claim_index.ClaimIndexFullError, ValueError) as error:
                LOG.error('claim_rebuild', extra={'reason': str(error)})
                return
            self.learn_fences(reply.fences)
            if self.view != asked_view:
                return
            if not reply.more:
                self._take_answer(peer, reply, token)
                return
            after_key = reply.claims[-1][0]

    def _take_answer(self, peer, reply, token):
        if reply.known_incarnation != self._context.incarnation:
            self._note_restart()
        answered_view = claim_placement.make_claim_view(
            map(tuple, reply.members), reply.fences
        )
        if answered_view != self.view:
            return
        if self._lacks_copies(peer, reply):
            return
        self._incarnations.note(peer, reply.incarnation)
        self._confirmed.add(peer)
        self._established |= reply.established
        for name in reply.departed:
            self._fences.note_left(name, reply.fences, True)
        self._losses.note_answer(peer, reply.loss_ms, reply.blind_ms)
        self._losses.note_others(
            reply.losses, self._confirmed | {self._context.name}
        )
        self._required |= set(map(str, reply.unconfirmed))
        self._required -= {self._context.name}
        self._comparison.note(peer, token)

    def _lacks_copies(self, peer, reply):
        """Whether a new host may not yet know claims that were lost here."""
        return (
            self._losses.own_ms > self._context.now_ms()
            and peer in self.view.names
            and not reply.complete
            and not reply.loss_ms
        )

    def _note_complete(self):
        """Take a complete index as the base of later views."""
        if self.complete:
            self._owned_views = [self.view.active]
            self._losses.own_ms = 0

    def _note_restart(self):
        """Note that this process runs on an outdated fleet after a restart."""
        if not self._losses.own_ms and not self.participating:
            self._losses.own_ms = self._started_ms + self._context.retention_ms
            self._confirmed = set()

    def _evaluate(self):
        self._comparison.end(len(self.view.active) - 1)
        if self._complete_from_ms is not None or not self.active:
            return
        no_second = len(self.view.names) > 1 and len(self.view.active) < 2
        if no_second or not self._all_answered():
            return
        # Claims of a host that was alone had no second copy. Hosts that are
        # all new or restarted do not know whom else they would have to ask.
        was_alone = len(self._previous or self.view.active) == 1
        single_copies = was_alone or not self._established
        self.participating = True
        self._complete_from_ms = self._losses.blind_until_ms(single_copies)

    def _all_answered(self):
        states = self._context.instance_list.states().items()
        gone = {n for n, s in states if s == claim_instance_list.GONE}
        absent = set(self.view.names) - set(self.view.active)
        withdrawn = self._required - set(self.view.names)
        missing = self._required - self._confirmed - self._fences.left
        lost = missing & (absent | (withdrawn & gone))
        one_withdrawn = len(missing) == 1 and missing <= withdrawn
        if one_withdrawn and len(self._previous) > 1:
            lost = missing
        if missing - lost:
            return False
        deadline_ms = self._context.now_ms() + self._context.retention_ms
        for name in missing:
            self._losses.note_gone(name, deadline_ms)
        return True
