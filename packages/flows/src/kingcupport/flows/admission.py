"""Decides which openings wait, which are refused and which are placed next."""

import abc
import collections
import itertools
import math

import attrs

from kingcupport.flows import drain_estimate

FEATURE = 'shared_admission'
# A balancer gets up to 120 new flows a second at peak load; the limit holds
# those of one second at the planned fleet size.
DEFAULT_PLACES = 128
# Bounds of a size that follows from the drain rate. The lower one keeps a
# short burst at a balancer that places few flows; the upper one bounds the
# memory: 512 openings of 1.5 KB.
MIN_PLACES = 32
MAX_PLACES = 512
# Clients give up an opening after 1,400 ms.
MAX_WAIT_MS = 1_200
# Share of a route's timeout within which a waiting flow must be able to start.
MAX_START_TIMEOUT_SHARE = 0.5
# A kind that waits while others of higher priority are placed is sent once in
# this many openings. Busy servers decline most of those that are sent beyond
# capacity, and a flow of it may carry many requests: simulated with a flood of
# the higher priority, 8 left that kind half of what it gets without turns.
TURN_INTERVAL = 64
# Places at a server that each higher priority adds for its flows.
MAX_ADDED_PLACES = 2
# A server whose oldest request has run for more than this many service times
# may be stuck with it for long; no flow is queued deeper there.
STRAGGLER_SERVICE_TIMES = 2


@attrs.frozen
class Refusal:
    """Why a waiting opening is refused.

    Args:
        reason: One line for the log, also the key of the counter.
        inputs: Log fields with the inputs of the decision.
    """

    reason: str
    inputs: dict = attrs.field(factory=dict)


NO_ROOM = Refusal('no server has room in time')


class AdmissionPolicy(abc.ABC):
    """Decides on the openings of one balancer that find no free server."""

    @abc.abstractmethod
    def on_report(self, service, slots, previous, load):
        """Record a newer load report.

        Args:
            service: Name of the service of the server.
            slots: Number of requests that the server processes at once.
            previous: ``(running, reported_ms)`` before the report.
            load: ServerLoad with the report.
        """

    @abc.abstractmethod
    def on_queued(self, service, waiting):
        """Record that an opening begins to wait.

        Args:
            service: Name of its service.
            waiting: Numbers of openings that wait already, by priority.
        """

    @abc.abstractmethod
    def on_placed(self, service, priority, waiting):
        """Record that an opening was sent to a server.

        Args:
            service: Name of its service.
            priority: Priority of its route.
            waiting: Numbers of waiting openings of the service by priority.
        """

    @abc.abstractmethod
    def turn(self, service):
        """Return the priority that is placed next out of order, or None."""

    @abc.abstractmethod
    def added_places(self, opening, server, load, running):
        """Return the number of requests that a busy server may hold more.

        Args:
            opening: WaitingOpening that would be queued there.
            server: FlowServer.
            load: Its ServerLoad.
            running: Number of requests at it or on their way to it.

        Returns:
            Places in addition to those that every timely flow may use.
        """

    @abc.abstractmethod
    def choose_refused(self, queue, opening, is_admitted):
        """Return which opening is refused when one more is to wait.

        Args:
            queue: OpeningQueue.
            opening: WaitingOpening that is not in the queue.
            is_admitted: Whether it has waited before.

        Returns:
            ``(opening, Refusal)`` with it or a waiting one, or None.
        """


class FixedAdmission(AdmissionPolicy):
    """Refuses whoever comes last when a fixed number waits."""

    def on_report(self, service, slots, previous, load):
        """Implement ``AdmissionPolicy.on_report``."""

    def on_queued(self, service, waiting):
        """Implement ``AdmissionPolicy.on_queued``."""

    def on_placed(self, service, priority, waiting):
        """Implement ``AdmissionPolicy.on_placed``."""

    def turn(self, service):
        """Implement ``AdmissionPolicy.turn``."""
        return None  # noqa: RET501

    def added_places(self, opening, server, load, running):
        """Implement ``AdmissionPolicy.added_places``."""
        return 0

    def choose_refused(self, queue, opening, is_admitted):
        """Implement ``AdmissionPolicy.choose_refused``."""
        return (opening, NO_ROOM) if len(queue) >= DEFAULT_PLACES else None


class SharedAdmission(AdmissionPolicy):
    """Shares places by priority and refuses what cannot start in time.

    Args:
        clock: Clock.
        priorities: ``priorities(service)`` returns the priorities of the
            routes that use a service, in ascending order.
    """

    def __init__(self, clock, priorities):
        self._clock = clock
        self._priorities = priorities
        self._estimates = collections.defaultdict(
            lambda: drain_estimate.make_drain_estimate(clock)
        )
        # By service and priority: placements of higher priorities since the
        # last one of this priority.
        self._passed_over = collections.defaultdict(collections.Counter)

    def on_report(self, service, slots, previous, load):
        """Implement ``AdmissionPolicy.on_report``."""
        self._estimates[service].on_report(slots, *previous, load.running)

    def on_queued(self, service, waiting):
        """Implement ``AdmissionPolicy.on_queued``."""
        if not waiting:
            self._estimates[service].start_backlog()
            self._passed_over.pop(service, None)

    def on_placed(self, service, priority, waiting):
        """Implement ``AdmissionPolicy.on_placed``."""
        if not waiting:
            self._estimates[service].end_backlog()
            return
        self._estimates[service].on_placed()
        passed_over = self._passed_over[service]
        passed_over.pop(priority, None)
        for other in waiting:
            if other > priority:
                passed_over[other] += 1

    def turn(self, service):
        """Implement ``AdmissionPolicy.turn``.

        A priority that was passed over for ``TURN_INTERVAL`` placements is
        next, so that higher priorities cannot take every place.
        """
        due = [
            priority
            for priority, count in self._passed_over.get(service, {}).items()
            if count >= TURN_INTERVAL - 1
        ]
        return min(due, default=None)

    def added_places(self, opening, server, load, running):
        """Implement ``AdmissionPolicy.added_places``.

        Requests on open flows queue at the servers and pass every limit. A
        flow of a higher priority may queue deeper there than others, if it
        still starts in time; otherwise the open flows would keep it out.
        """
        estimate = self._estimates[opening.service]
        service_time_ms = estimate.service_time_ms
        priorities = self._priorities(opening.service)
        if service_time_ms is None or len(priorities) < 2:
            return 0
        now_ms = self._clock.monotonic_ms()
        age_ms = now_ms - load.oldest_started_ms
        if age_ms > STRAGGLER_SERVICE_TIMES * service_time_ms:
            return 0
        if opening.priority == self.turn(opening.service):
            return min(len(priorities) - 1, MAX_ADDED_PLACES)
        start_ms = now_ms + running * service_time_ms / server.slots
        if start_ms > opening.latest_start_ms:
            return 0
        lower = sum(priority > opening.priority for priority in priorities)
        return min(lower, MAX_ADDED_PLACES)

    def choose_refused(self, queue, opening, is_admitted):
        """Implement ``AdmissionPolicy.choose_refused``."""
        rate_per_s = self._estimates[opening.service].max_rate_per_s()
        if rate_per_s is not None and not is_admitted:
            place = queue.place_of(opening)
            wait_ms = 1_000 * (place + 1) / rate_per_s
            now_ms = self._clock.monotonic_ms()
            if now_ms + wait_ms > self._last_start_ms(opening):
                return opening, Refusal(
                    'expected wait too long',
                    _inputs(place, wait_ms, rate_per_s),
                )
        return self._choose_evicted(queue, opening, rate_per_s)

    def _last_start_ms(self, opening):
        return max(
            opening.latest_start_ms,
            opening.opened_ms + MAX_START_TIMEOUT_SHARE * opening.timeout_ms,
        )

    def _choose_evicted(self, queue, opening, rate_per_s):
        places = _places(rate_per_s)
        waiting = [*queue.openings(opening.service), opening]
        if len(waiting) <= places and len(queue) < MAX_PLACES:
            return None
        counts = collections.Counter(o.priority for o in waiting)
        shares = _shares(sorted(counts), len(waiting) - 1)
        # More wait than there are places, so some priority exceeds its share.
        priority = max(p for p, n in counts.items() if n > shares[p])
        evicted = max(
            (o for o in waiting if o.priority == priority),
            key=queue.placing_order,
        )
        refusal = Refusal(
            'place given to a more valuable flow',
            _inputs(len(waiting), None, rate_per_s),
        )
        return evicted, refusal


def _places(rate_per_s):
    if rate_per_s is None:
        return DEFAULT_PLACES
    places = math.ceil(rate_per_s * MAX_WAIT_MS / 1_000)
    return min(max(places, MIN_PLACES), MAX_PLACES)


def _shares(priorities, places):
    """Return the places that each of some priorities keeps.

    Each priority keeps half as many as the next higher one.
    """
    weights = [2.0**-rank for rank in range(len(priorities))]
    total = sum(weights)
    return {
        priority: places * weight / total
        for priority, weight in zip(priorities, weights, strict=True)
    }


def _inputs(place, wait_ms, rate_per_s):
    inputs = {
        'place': place,
        'expected_wait_ms': None if wait_ms is None else round(wait_ms),
        'drain_per_s': None if rate_per_s is None else round(rate_per_s, 1),
    }
    return dict(
        itertools.filterfalse(lambda item: item[1] is None, inputs.items())
    )


def make_admission_policy(clock, features, priorities):
    """Return the policy that a balancer's settings ask for.

    Args:
        clock: Clock.
        features: Names of the features that are switched on.
        priorities: ``priorities(service)`` returns the priorities of the
            routes that use a service, in ascending order.
    """
    if FEATURE in features:
        return SharedAdmission(clock, priorities)
    return FixedAdmission()
