"""Tests the limit on the opening packets of cold servers."""

import itertools
import math
import zlib

import flow_support
import hypothesis
from hypothesis import strategies
import msgpack
import pytest

from kingcupport.flows import cold_limit
from kingcupport.flows import fleet_view
from kingcupport.flows import flow_route


def make_limit(clock, **bounds):
    """Return a limit of a process that runs for longer than the window."""
    limit = cold_limit.make_cold_limit(clock, **bounds)
    clock.advance(cold_limit.WINDOW_MS + 1)
    return limit


def offer(limit):
    if not limit.has_room():
        return False
    limit.on_opening()
    return True


def most_in_a_second(times_ms):
    return max(
        (sum(1 for t in times_ms if 0 <= t - s <= 1_000) for s in times_ms),
        default=0,
    )


@hypothesis.given(
    rate=strategies.floats(0.1, 40),
    pauses_ms=strategies.lists(strategies.floats(0, 300), max_size=200),
)
def test_no_second_has_more_openings_than_the_rate(rate, pauses_ms):
    """Guards FAILBACK in any sliding second, not only in fixed ones."""
    clock = flow_support.make_clock()
    limit = make_limit(clock)
    limit.set(rate, 3_600_000)
    handed_ms = []
    for pause_ms in pauses_ms:
        clock.advance(pause_ms)
        if offer(limit):
            handed_ms.append(clock.monotonic_ms())
    assert most_in_a_second(handed_ms) <= math.ceil(rate)


def test_the_whole_rate_can_be_used():
    clock = flow_support.make_clock()
    limit = make_limit(clock)
    limit.set(8.0, 3_600_000)
    handed = 0
    for _ in range(1_000):
        clock.advance(10)
        handed += offer(limit)
    assert handed >= 75


def test_openings_from_before_the_limit_count():
    """Without a limit, one balancer may have filled the second already."""
    clock = flow_support.make_clock()
    limit = make_limit(clock)
    assert all(offer(limit) for _ in range(5))
    limit.set(5.0, 10_000)
    assert not offer(limit)
    clock.advance(1_001)
    assert offer(limit)


def test_process_that_has_just_started_takes_the_window_as_used_up():
    clock = flow_support.make_clock()
    limit = cold_limit.make_cold_limit(clock)
    limit.set(5.0, 10_000)
    clock.advance(1_000)
    assert not offer(limit)
    clock.advance(1)
    assert offer(limit)


def test_limit_ends_with_the_cold_time():
    clock = flow_support.make_clock()
    limit = make_limit(clock)
    limit.set(1.0, 3_000)
    limit.set(1.0, 500)
    assert [offer(limit) for _ in range(2)] == [True, False]
    clock.advance(2_999)
    assert limit.limit == 1
    clock.advance(1)
    assert limit.limit is None
    assert all(offer(limit) for _ in range(50))


@pytest.mark.parametrize(
    ('rate', 'bounds', 'expected'),
    [
        (0.2, {}, 1),
        (7.2, {}, 8),
        (7.2, {'excess': 1.0, 'slack': 0.5}, 7),
        (1e6, {}, cold_limit.MAX_KEPT_OPENINGS),
    ],
)
def test_limit_is_the_rate_and_never_above_the_bound(rate, bounds, expected):
    limit = make_limit(flow_support.make_clock(), **bounds)
    limit.set(rate, 1_000)
    assert limit.limit == expected


@pytest.mark.parametrize(
    ('rate', 'left_ms'),
    [
        (0.0, 9),
        (-1.0, 9),
        (math.nan, 9),
        (math.inf, 9),
        (1_000_001.0, 9),
        (5.0, 0),
        (5.0, -1),
    ],
)
def test_invalid_limit_changes_nothing(rate, left_ms):
    limit = make_limit(flow_support.make_clock())
    assert not limit.set(rate, left_ms)
    assert limit.limit is None
    limit.set(2.0, 1_000)
    assert not limit.set(rate, left_ms)
    assert limit.limit == 2


# The limits in a configuration


def make_configuration(version=1, **changes):
    plain = flow_support.make_configuration(version)
    return flow_route.FlowConfiguration(
        version, plain.routes, plain.idle_timeout_ms, **changes
    )


def former_decode(data):
    """Return what versions without limits read from a configuration."""
    return msgpack.unpackb(zlib.decompressobj().decompress(data, 1 << 24))


def test_limits_reach_a_peer():
    limits = {'audio': (2.5, 60_000), 'gate': (8.0, 0)}
    configuration = make_configuration(cold_limits=limits)
    data = flow_route.encode_configuration(configuration)
    assert flow_route.decode_configuration(data).cold_limits == limits


def test_former_versions_read_a_configuration_with_limits():
    """In a mixed fleet, views are exchanged in both directions."""
    without = flow_route.encode_configuration(make_configuration())
    data = flow_route.encode_configuration(
        make_configuration(cold_limits={'gate': (8.0, 0)})
    )
    assert former_decode(data) == former_decode(without)
    assert zlib.compress(zlib.decompress(without)) == without


@pytest.mark.parametrize(
    'rows',
    [
        b'\xc1',
        msgpack.packb(7),
        msgpack.packb([['gate', 1.0]]),
        msgpack.packb([['gate', 1, 5]]),
        msgpack.packb([['gate', math.nan, 5]]),
        msgpack.packb([['gate', -1.0, 5]]),
        msgpack.packb([[['gate'], 1.0, 5]]),
    ],
)
def test_damaged_limits_of_a_peer_are_refused(rows):
    data = flow_route.encode_configuration(make_configuration()) + rows
    with pytest.raises((ValueError, TypeError)):
        flow_route.decode_configuration(data)


def record_audit(view):
    lines = []
    view.on_change(lambda kind, fields: lines.append((kind, fields)))
    return lines


def test_rejected_limit_is_reported_once_and_leaves_the_former_one():
    view = fleet_view.make_fleet_view(flow_support.make_clock())
    view.apply_configuration(
        make_configuration(1, cold_limits={'gate': (8.0, 0)})
    )
    lines = record_audit(view)
    for _ in range(2):
        view.apply_configuration(
            make_configuration(
                2,
                cold_limits={'audio': (3.0, 0)},
                rejected_cold_limits=(('gate', 'x'), ('other', 'y')),
            )
        )
    assert view.configuration.cold_limits == {
        'gate': (8.0, 0),
        'audio': (3.0, 0),
    }
    rejected = [f for kind, f in lines if kind == 'cold_limit_rejected']
    assert rejected == [
        {'service': 'gate', 'reason': 'x'},
        {'service': 'other', 'reason': 'y'},
    ]


def test_limits_that_a_former_version_left_out_are_completed():
    view = fleet_view.make_fleet_view(flow_support.make_clock())
    limits = {'gate': (8.0, 0)}
    orders = itertools.permutations(
        [make_configuration(3), make_configuration(3, cold_limits=limits)]
    )
    for order in orders:
        view = fleet_view.make_fleet_view(flow_support.make_clock())
        for configuration in order:
            view.apply_configuration(configuration)
        assert view.configuration.cold_limits == limits
