"""Tests for the claim index of one agent."""

import tracemalloc

import attrs
import pytest

from kingcupport.common import clock as clock_module
from kingcupport.requests import claim_index
from kingcupport.requests import claim_placement
from kingcupport.requests import claim_record


class _Clock(clock_module.Clock):
    now_ms = 0.0

    def monotonic_ms(self):
        return self.now_ms

    def utc_ms(self):
        return 0

    def sleep_until(self, deadline_ms):
        self.now_ms = max(self.now_ms, deadline_ms)


def make_record(attempt='a:1', key='key', holder='a', expires_ms=1000.0):
    return claim_record.ClaimRecord(
        key, b'f', attempt, holder, 1, 0, expires_ms
    )


def test_merged_attempts_hold_a_key_until_each_is_released():
    """A restored released attempt must not hide the running attempt."""
    index = claim_index.ClaimIndex(_Clock())
    index.claim(make_record('a:1'))
    index.merge(make_record('b:1', expires_ms=2000.0))
    index.release('key', 'b:1')
    assert index.claim(make_record('c:1')).attempt == 'a:1'
    index.release('key', 'a:1')
    assert index.claim(make_record('c:1')).attempt == 'c:1'


def test_higher_version_of_an_attempt_replaces_the_lower():
    """After a handover the key's agent must report the new holder."""
    index = claim_index.ClaimIndex(_Clock())
    moved = attrs.evolve(make_record(), holder='b', version=1)
    for record in (make_record(), moved, make_record()):
        index.merge(record)
    assert [r.holder for r in index.records('key')] == ['b']
    assert len(index) == 1


def test_expired_records_free_capacity():
    """Expired records must not count towards the maximum."""
    clock = _Clock()
    index = claim_index.ClaimIndex(clock, max_claims=1)
    index.claim(make_record())
    with pytest.raises(claim_index.ClaimIndexFullError):
        index.claim(make_record(key='other'))
    clock.now_ms = 1000.0
    index.claim(make_record(key='other', expires_ms=2000.0))
    assert len(index) == 1


def test_released_records_use_no_memory():
    """Shed requests release their claims and must not leak expiry entries."""
    tracemalloc.start()
    index = claim_index.ClaimIndex(_Clock())
    kept_bytes = []
    for number in range(20_000):
        index.claim(make_record(f'a:{number}'))
        index.release('key', f'a:{number}')
        if number in (5_000, 19_999):
            kept_bytes.append(tracemalloc.get_traced_memory()[0])
    tracemalloc.stop()
    assert kept_bytes[1] < kept_bytes[0] + 500_000


def test_pages_list_each_key_exactly_once(monkeypatch):
    """A key that is missing after a rebuild would be granted again."""
    monkeypatch.setattr(claim_index, 'CLAIMS_PER_PAGE', 7)
    hosts = ('a', 'b', 'c')
    index = claim_index.ClaimIndex(_Clock())
    keys = [f'key-{number}' for number in range(100)]
    for key in keys:
        index.merge(make_record(f'{key}:1', key, holder='c'))
    listed, after_key, more = [], '', True
    while more:
        page, more = index.records_for_agent('a', hosts, after_key)
        listed += [record.key for record in page]
        after_key = listed[-1]
    expected = [
        key
        for key in keys
        if claim_placement.find_key_agent(key, hosts) == 'a'
        or (
            claim_placement.rank_hosts(key, hosts)[1] == 'a'
            and claim_placement.rank_hosts(key, hosts)[0] == 'c'
        )
    ]
    assert listed == sorted(expected)
