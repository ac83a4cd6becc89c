"""Guards against a load whose rate or mix differs from its plan."""

import random

from kingcupport.standins import caller_request
from kingcupport.standins import load_plan


def _plan(**fields):
    return load_plan.LoadPlan((), **fields)


def test_rate_alternates_around_its_mean():
    plan = _plan(
        rate_per_s=300,
        swing_factor=5,
        swing_period_ms=4000,
        duration_ms=40_000,
    )
    arrivals_ms = list(plan.arrivals_ms(random.Random(3)))
    assert abs(len(arrivals_ms) / 40 - 300) < 10
    peak = [a for a in arrivals_ms if a % 4000 >= 2000]
    assert 4.5 < len(peak) / (len(arrivals_ms) - len(peak)) < 5.5


def test_mix_has_the_planned_shares():
    plan = _plan(keyed_percent=20, unkeyed_percent=10, straggler_percent=5)
    factory = caller_request.CallerRequestFactory(plan, random.Random(3), 'r')
    requests = [factory.make('audio', 0) for _ in range(5000)]
    keyed = [r for r in requests if r.idempotency_key]
    posts = [r for r in requests if r.method == 'POST']
    stragglers = [r for r in requests if r.straggler]
    assert 900 < len(keyed) < 1100
    assert 1350 < len(posts) < 1650
    assert 190 < len(stragglers) < 310
    assert len({r.idempotency_key for r in keyed}) == len(keyed)


def test_attempts_have_distinct_identifiers():
    factory = caller_request.CallerRequestFactory(
        _plan(), random.Random(3), 'r'
    )
    request = factory.make('audio', 0)
    for _ in range(3):
        factory.next_attempt(request)
    assert len(set(request.attempt_ids)) == 3
