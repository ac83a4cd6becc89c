"""Tests the rate of reads of the store and the failover of readers.

Too many reads exceed the budget of the store. A late failover lets new flows
go to withdrawn servers.
"""

import random

import flow_support
import pytest

from kingcupport.flows import fleet_view
from kingcupport.flows import read_schedule

# A withdrawn server may get new flows for at most this long.
WITHDRAWAL_LIMIT_MS = 3_000


class Balancers:
    """Balancers on a manual clock whose greetings arrive without delay."""

    def __init__(self, count):
        self.clock = flow_support.make_clock()
        self.views = [
            fleet_view.make_fleet_view(self.clock) for _ in range(count)
        ]
        self.schedules = [
            read_schedule.make_read_schedule(
                self.clock, random.Random(i), f'b{i}', view
            )
            for i, view in enumerate(self.views)
        ]
        self.stopped = set()
        self.refused = set()
        self.calls = 0
        self.max_age_ms = 0

    def step(self, step_ms=20):
        now_ms = self.clock.monotonic_ms()
        for number, schedule in enumerate(self.schedules):
            if number in self.stopped or schedule.next_read_ms() > now_ms:
                continue
            self.calls += 1
            if number in self.refused:
                schedule.on_failure()
                self.greet(number)
                continue
            schedule.on_success()
            for view in self.views:
                view.confirm(now_ms, 1)
            self.greet(number)
        self.clock.advance(step_ms)
        live = [v for i, v in enumerate(self.views) if i not in self.stopped]
        self.max_age_ms = max(
            self.max_age_ms,
            *(view.confirmation.age_ms() or 0 for view in live),
        )

    def greet(self, number):
        for other in self.schedules:
            other.on_peer_greeting(
                f'b{number}', self.schedules[number].is_reading
            )

    def run(self, duration_ms):
        for _ in range(duration_ms // 20):
            for number in range(len(self.schedules)):
                if number not in self.stopped:
                    self.greet(number)
            self.step()

    def first_reader(self):
        return min(
            range(len(self.schedules)), key=lambda i: self.schedules[i].rank()
        )


@pytest.mark.parametrize('count', [1, 6, 21])
def test_one_read_a_second_for_any_number_of_balancers(count):
    balancers = Balancers(count)
    balancers.run(1_000)
    balancers.calls = 0
    balancers.run(30_000)
    assert balancers.calls <= 31


@pytest.mark.parametrize('fault', ['stopped', 'refused'])
def test_another_balancer_takes_over_soon_after_readers_fail(fault):
    balancers = Balancers(6)
    balancers.run(3_000)
    ranked = sorted(range(6), key=lambda i: balancers.schedules[i].rank())
    getattr(balancers, fault).update(ranked[:2])
    balancers.max_age_ms = 0
    balancers.run(10_000)
    assert balancers.max_age_ms < WITHDRAWAL_LIMIT_MS


def test_reads_back_off_while_the_store_refuses_them():
    balancers = Balancers(6)
    balancers.run(3_000)
    balancers.refused.update(range(6))
    balancers.calls = 0
    balancers.run(10_000)
    assert balancers.calls <= 6 * 7


def test_a_recovered_store_is_read_soon():
    balancers = Balancers(6)
    balancers.run(3_000)
    balancers.refused.update(range(6))
    balancers.run(8_000)
    balancers.refused.clear()
    balancers.run(WITHDRAWAL_LIMIT_MS)
    assert min(view.confirmation.age_ms() for view in balancers.views) <= 1_020


def test_requested_read_is_due_at_once_and_at_a_limited_rate():
    balancers = Balancers(1)
    (view,), (schedule,) = balancers.views, balancers.schedules
    clock = balancers.clock
    for _ in range(4):
        view.confirm(clock.monotonic_ms(), 1)
        clock.advance(1_000)
    view.confirm(clock.monotonic_ms(), 1)
    clock.advance(100)
    now_ms = clock.monotonic_ms()
    view.confirmation.request(now_ms)
    assert schedule.next_read_ms() == now_ms
    schedule.on_start()
    clock.advance(10)
    view.confirmation.request(clock.monotonic_ms())
    assert (
        schedule.next_read_ms()
        == now_ms + read_schedule.REQUESTED_READ_INTERVAL_MS
    )
    view.confirm(clock.monotonic_ms(), 1)
    assert schedule.next_read_ms() > clock.monotonic_ms() + 900
