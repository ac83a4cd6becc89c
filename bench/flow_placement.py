"""Measures the time to choose a server among 300, with and without paces.

Prints the least of 15 rounds of the microseconds for each choice. Run from
the root of the repository::

    PYTHONPATH=tests python bench/flow_placement.py
"""

import time

import flow_support

from kingcupport.flows import flow_placement
from kingcupport.flows import server_loads
from kingcupport.wire import flow_datagrams

SERVER_COUNT = 300
CHOICE_COUNT = 400
ROUND_COUNT = 15
SERVICE_TIME_MS = 48.0
SLOW_FACTOR = 2.2
# (name, whether paces are used, whether every fourth server is slow, share of
# the servers that are busy)
CASES = (
    ('off', False, False),
    ('alike', True, False),
    ('uneven', True, True),
)
BUSY_SHARES = (0.0, 0.5, 1.0)


def make_loads(clock, is_uneven, busy_share):
    """Return ServerLoads with reports of all servers."""
    loads = server_loads.make_server_loads(clock)
    for number in range(SERVER_COUNT):
        ip = f'10.0.0.{number}'
        running = 2 if number < busy_share * SERVER_COUNT else 0
        loads.on_report(
            ip,
            flow_datagrams.LoadReport(
                1, 1, 'gate', running, 0, 0, False, False, True
            ),
        )
        is_slow = is_uneven and number % 4 == 0
        time_ms = SERVICE_TIME_MS * (SLOW_FACTOR if is_slow else 1)
        loads.on_pace_report(
            ip, flow_datagrams.PaceReport(1, 2, time_ms, 32, -1)
        )
    return loads


def measure(uses_pace, is_uneven, busy_share, module=flow_placement):
    """Return the microseconds for each choice, least of the rounds."""
    clock = flow_support.make_clock()
    loads = make_loads(clock, is_uneven, busy_share)
    options = {'uses_pace': True} if uses_pace else {}
    placement = module.make_flow_placement(clock, loads, 'dakar', **options)
    servers = [
        flow_support.make_server(number, slots=2)
        for number in range(SERVER_COUNT)
    ]
    flows = [flow_support.make_flow(number) for number in range(CHOICE_COUNT)]
    rounds = []
    for _ in range(ROUND_COUNT):
        start = time.process_time()
        for flow in flows:
            placement.choose(flow, servers)
        rounds.append(1e6 * (time.process_time() - start) / CHOICE_COUNT)
    return min(rounds)


def main():
    """Print one line for each case."""
    for busy_share in BUSY_SHARES:
        for name, uses_pace, is_uneven in CASES:
            microseconds = measure(uses_pace, is_uneven, busy_share)
            print(
                f'servers={SERVER_COUNT} busy_share={busy_share} '
                f'paces={name} choice_us={microseconds:.0f}'
            )


if __name__ == '__main__':
    main()
