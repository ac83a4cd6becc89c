"""Tests which openings are refused, evicted and placed out of order."""

import flow_support
import hypothesis
from hypothesis import strategies
import pytest

from kingcupport.flows import admission
from kingcupport.flows import flow_route
from kingcupport.flows import opening_queue
from kingcupport.flows import server_loads

PRIORITIES = (0, 1, 2)


def make_route(priority, target_ms=2_000, timeout_ms=1_800):
    return flow_route.FlowRoute(
        f'r{priority}',
        flow_support.GATE,
        (('gate', 1),),
        target_ms=target_ms,
        timeout_ms=timeout_ms,
        priority=priority,
    )


class Harness:
    """A queue with its policy on a manual clock."""

    def __init__(self, features=(admission.FEATURE,)):
        self.clock = flow_support.make_clock()
        self.policy = admission.make_admission_policy(
            self.clock, features, lambda _: PRIORITIES
        )
        self.queue = opening_queue.make_opening_queue(self.clock, self.policy)
        self.count = 0
        self.running = 1

    def put(self, priority=1, age_ms=0, **fields):
        self.count += 1
        opening = self.queue.make_opening(
            flow_support.make_flow(self.count),
            'gate',
            b'',
            make_route(priority, **fields),
            self.clock.monotonic_ms() - age_ms,
        )
        self.queue.put(opening)
        return opening

    def place(self):
        opening = self.queue.pop('gate')
        self.policy.on_placed(
            'gate', opening.priority, self.queue.counts('gate')
        )
        return opening

    def report(self, running=0):
        load = server_loads.ServerLoad(running=running)
        previous = (self.running, self.clock.monotonic_ms() - 20)
        self.running = running
        self.policy.on_report('gate', 1, previous, load)

    def drain(self, count, interval_ms):
        """Place some openings at a constant rate and queue others instead."""
        for _ in range(count):
            self.clock.advance(interval_ms)
            self.report(self.running ^ 1)
            self.place()
            self.put()


@strategies.composite
def steps(draw):
    return draw(
        strategies.lists(
            strategies.one_of(
                strategies.tuples(
                    strategies.just('put'),
                    strategies.sampled_from(PRIORITIES),
                    strategies.sampled_from([0, 50, 200, 600]),
                ),
                strategies.tuples(strategies.just('place')),
                strategies.tuples(
                    strategies.just('advance'),
                    strategies.sampled_from([1, 60, 150, 400]),
                ),
            ),
            max_size=40,
        )
    )


@hypothesis.given(steps())
def test_without_the_feature_the_order_is_that_of_one_sorted_list(steps):
    """Guards the order of before the feature, which had no turns."""
    harness = Harness(features=())
    waiting = []
    for name, *arguments in steps:
        if name == 'put':
            waiting.append(harness.put(*arguments, target_ms=200))
        elif name == 'advance':
            harness.clock.advance(*arguments)
        elif waiting:
            now_ms = harness.clock.monotonic_ms()
            first = min(waiting, key=lambda o: sort_key(o, now_ms))
            placed = harness.place()
            assert sort_key(placed, now_ms) == sort_key(first, now_ms)
            waiting.remove(placed)
    assert not harness.queue.pop_refused()


def sort_key(opening, now_ms):
    is_late = opening.latest_start_ms <= now_ms
    sign = -1 if is_late else 1
    return is_late, opening.priority, sign * opening.latest_start_ms


def test_without_the_feature_a_full_queue_refuses_the_newcomer():
    harness = Harness(features=())
    for _ in range(admission.DEFAULT_PLACES):
        harness.put(priority=2)
    newcomer = harness.put(priority=0)
    assert harness.queue.pop_refused() == [(newcomer, admission.NO_ROOM)]


def test_an_opening_that_cannot_start_in_half_its_time_is_refused():
    harness = Harness()
    for _ in range(60):
        harness.put()
    harness.drain(15, 50)
    harness.queue.pop_refused()
    newcomer = harness.put()
    ((refused, refusal),) = harness.queue.pop_refused()
    assert refused is newcomer
    assert refusal.reason == 'expected wait too long'
    assert refusal.inputs['place'] >= 35
    assert refusal.inputs['expected_wait_ms'] > 1_000
    # 20 openings a second were placed; the bound allows for chance.
    assert 20 <= refusal.inputs['drain_per_s'] <= 40


def test_one_that_can_start_in_time_waits():
    harness = Harness()
    for _ in range(10):
        harness.put()
    harness.drain(20, 50)
    harness.put(priority=0)
    assert not harness.queue.pop_refused()


def test_after_a_start_nothing_is_refused_for_its_expected_wait():
    """A balancer that has just started must not refuse what it can serve."""
    harness = Harness()
    for _ in range(60):
        harness.put()
    harness.clock.advance(20)
    harness.report()
    harness.put()
    assert not harness.queue.pop_refused()


@pytest.mark.parametrize('silence_ms', [600, 5_000])
def test_lost_reports_refuse_nothing(silence_ms):
    """Without reports, nothing is placed; that is no sign of a slow service.

    Neither in the silence nor when the first report arrives after it may the
    time without reports count.
    """
    harness = Harness()
    for _ in range(60):
        harness.put()
    harness.drain(20, 50)
    harness.queue.pop_refused()
    harness.clock.advance(silence_ms)
    harness.put()
    assert not harness.queue.pop_refused()
    harness.report()
    harness.clock.advance(10)
    harness.put()
    assert not harness.queue.pop_refused()


def test_a_full_queue_evicts_its_least_valuable_opening():
    harness = Harness()
    openings = [
        harness.put(priority=2) for _ in range(admission.DEFAULT_PLACES)
    ]
    newcomer = harness.put(priority=0)
    ((refused, refusal),) = harness.queue.pop_refused()
    assert refused is openings[0]
    assert refusal.reason == 'place given to a more valuable flow'
    assert newcomer.flow in harness.queue


@hypothesis.given(
    strategies.lists(
        strategies.sampled_from(PRIORITIES), min_size=129, max_size=300
    )
)
@hypothesis.settings(max_examples=30, deadline=None)
def test_every_priority_keeps_its_share_of_the_places(priorities):
    """Guards against one kind that takes every place of the queue."""
    harness = Harness()
    for priority in priorities:
        harness.put(priority)
    counts = harness.queue.counts('gate')
    assert sum(counts.values()) == admission.DEFAULT_PLACES
    for rank, priority in enumerate(PRIORITIES):
        share = int(admission.DEFAULT_PLACES * 2 ** (2 - rank) / 7)
        assert counts[priority] >= min(share, priorities.count(priority))


def test_a_lower_priority_gets_its_turn():
    """Guards against starvation by a kind that alone takes all capacity."""
    harness = Harness()
    harness.put(priority=2)
    for _ in range(admission.TURN_INTERVAL + 5):
        harness.put(priority=0)
    placed = [harness.place().priority for _ in range(admission.TURN_INTERVAL)]
    assert placed == [0] * (admission.TURN_INTERVAL - 1) + [2]
