"""Tests the cached instance list and the budgets of its reads."""

import random

import manual_clock

from kingcupport.control import instance_list
from kingcupport.control import polled_instance_list

PROCESSES = 6_240


class _FakeInstanceList(instance_list.InstanceList):
    def __init__(self):
        self.answers = []

    def states(self):
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


def _make_list(source, processes):
    return polled_instance_list.PolledInstanceList(
        source,
        manual_clock.ManualClock(),
        random.Random(1),
        lambda: processes,
    )


def test_last_list_is_kept_while_the_platform_is_down():
    source = _FakeInstanceList()
    source.answers = [
        {
            'gate-1': instance_list.InstanceState.GONE,
            'gate-2': instance_list.InstanceState.LIVE,
        },
        instance_list.InstanceListError('down', step='read_instances'),
    ]
    polled = _make_list(source, 2)
    polled._read()
    polled._read()
    assert polled.gone == {'gate-1'}
    assert polled.states()['gate-2'] == 'live'


def test_interval_respects_the_call_and_byte_budgets():
    delays_ms = [
        _make_list(_FakeInstanceList(), PROCESSES)._next_delay_ms()
        for _ in range(50)
    ]
    mean_s = sum(delays_ms) / len(delays_ms) / 1000
    list_bytes = PROCESSES * polled_instance_list.ENTRY_BYTES
    assert PROCESSES / mean_s < 1.3 * polled_instance_list.RATE_BUDGET_PER_S
    assert list_bytes / mean_s < 1.3 * polled_instance_list.BYTE_BUDGET_PER_S
    # A small fleet detects a dead instance within seconds.
    assert _make_list(_FakeInstanceList(), 20)._next_delay_ms() <= 1_250
