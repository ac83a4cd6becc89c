"""Guards how few balancers read the store, and how soon another steps in."""

import random

import flow_support
import pytest

from kingcupport.flows import fleet_view
from kingcupport.flows import reader_turn

# A withdrawn server may get new flows for so long.
DRAIN_MS = 3_000


class Balancers:
    """Balancers whose greetings arrive at once."""

    def __init__(self, count):
        self.clock = flow_support.make_clock()
        self.views = [
            fleet_view.make_fleet_view(self.clock) for _ in range(count)
        ]
        self.turns = [
            reader_turn.make_reader_turn(
                self.clock, random.Random(i), f'b{i}', view
            )
            for i, view in enumerate(self.views)
        ]
        self.dead = set()
        self.refused = set()
        self.calls = 0
        self.worst_age_ms = 0

    def step(self, step_ms=20):
        now_ms = self.clock.monotonic_ms()
        for number, turn in enumerate(self.turns):
            if number in self.dead or turn.next_read_ms() > now_ms:
                continue
            self.calls += 1
            if number in self.refused:
                turn.on_failure()
                self.greet(number)
                continue
            turn.on_success()
            for view in self.views:
                view.confirm(now_ms, 1)
            self.greet(number)
        self.clock.advance(step_ms)
        live = [v for i, v in enumerate(self.views) if i not in self.dead]
        self.worst_age_ms = max(
            self.worst_age_ms, *(view.age_ms() or 0 for view in live)
        )

    def greet(self, number):
        for other in self.turns:
            other.on_peer(f'b{number}', self.turns[number].is_reading)

    def play(self, duration_ms):
        for _ in range(duration_ms // 20):
            for number in range(len(self.turns)):
                if number not in self.dead:
                    self.greet(number)
            self.step()

    def first_reader(self):
        return min(range(len(self.turns)), key=lambda i: self.turns[i].rank())


@pytest.mark.parametrize('count', [1, 6, 21])
def test_one_call_a_second_whatever_the_size(count):
    balancers = Balancers(count)
    balancers.play(1_000)
    balancers.calls = 0
    balancers.play(30_000)
    assert balancers.calls <= 31


@pytest.mark.parametrize('fault', ['dead', 'refused'])
def test_another_reads_soon_after_readers_fail(fault):
    balancers = Balancers(6)
    balancers.play(3_000)
    ranked = sorted(range(6), key=lambda i: balancers.turns[i].rank())
    getattr(balancers, fault).update(ranked[:2])
    balancers.worst_age_ms = 0
    balancers.play(10_000)
    assert balancers.worst_age_ms < DRAIN_MS


def test_a_store_that_refuses_all_is_not_polled():
    balancers = Balancers(6)
    balancers.play(3_000)
    balancers.refused.update(range(6))
    balancers.calls = 0
    balancers.play(10_000)
    assert balancers.calls <= 6 * 7


def test_a_store_that_returns_is_read_soon():
    balancers = Balancers(6)
    balancers.play(3_000)
    balancers.refused.update(range(6))
    balancers.play(8_000)
    balancers.refused.clear()
    balancers.play(DRAIN_MS)
    assert min(view.age_ms() for view in balancers.views) <= 1_020
