"""Guards against tables that differ between processes or move too much."""

import random

from kingcupport.routing import bucket_table
from kingcupport.routing import hint_cache


def _make_hosts(count, weight=100):
    return tuple(
        bucket_table.Host(f'gate-{i:02}', weight) for i in range(count)
    )


def test_table_does_not_depend_on_previous_tables():
    """Balancers that applied different release notes agree in the end."""
    grown = bucket_table.BucketTable(
        _make_hosts(8), bucket_table.BucketTable(_make_hosts(7))
    )
    shrunk = bucket_table.BucketTable(
        _make_hosts(8), bucket_table.BucketTable(_make_hosts(11))
    )
    fresh = bucket_table.BucketTable(_make_hosts(8))
    assert grown._owners == fresh._owners
    assert shrunk._owners == fresh._owners


def test_adding_a_host_moves_only_buckets_to_it():
    before = bucket_table.BucketTable(_make_hosts(7))
    after = bucket_table.BucketTable(_make_hosts(8), before)
    rng = random.Random(1)
    ids = [rng.getrandbits(64) for _ in range(4000)]
    moved = [i for i in ids if before.owner(i) != after.owner(i)]
    assert all(after.owner(i) == 'gate-07' for i in moved)
    assert len(moved) / len(ids) < 2 / 8


def test_buckets_are_proportional_to_the_weights():
    hosts = (
        bucket_table.Host('heavy', 300),
        bucket_table.Host('light', 100),
    )
    counts = bucket_table.BucketTable(hosts).bucket_counts()
    assert 2.5 < counts['heavy'] / counts['light'] < 3.5


def test_owner_is_the_first_candidate():
    table = bucket_table.BucketTable(_make_hosts(7))
    for connection_id in range(500):
        candidates = table.candidates(connection_id, 3)
        assert candidates[0] == table.owner(connection_id)
        assert len(set(candidates)) == 3


def test_hint_cache_is_bounded_and_drops_agents_that_left():
    cache = hint_cache.HintCache(capacity=2)
    cache.put(1, 'a')
    cache.put(2, 'b')
    cache.get(1)
    cache.put(3, 'b')
    assert cache.get(2) is None
    cache.keep_agents({'a'})
    assert cache.get(3) is None
    assert cache.get(1) == 'a'
