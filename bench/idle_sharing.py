"""Measures the messages of work sharing between idle agents.

    python bench/idle_sharing.py [seconds]

Eleven agents, about as many as a service has at design size, run the
production WorkSharing and answer each other over an in-memory transport.
"""

import random
import sys

import gevent
import peak_load

from kingcupport.common import clock as clock_module
from kingcupport.requests import backend_port
from kingcupport.requests import peer_loads
from kingcupport.requests import scheduler
from kingcupport.requests import service_view
from kingcupport.requests import work_sharing

AGENT_COUNT = 11
DURATION_S = 20
WARM_UP_S = 3
LATENCY_MS = 0.5
# TCP and IP headers of a message and of its acknowledgement.
HEADER_BYTES = 80


class _UnusedServer(backend_port.BackendPort):
    def run(self, request):
        raise AssertionError('no request is sent')


def start_agents():
    """Start the agents and return their DelayingCaller objects."""
    clock = clock_module.make_system_clock()
    names = tuple(f'host{n}' for n in range(AGENT_COUNT))
    view = service_view.ServiceView('service', 1, names, AGENT_COUNT, 40)
    handlers, callers = {}, []
    for number, name in enumerate(names):
        caller = peak_load.DelayingCaller(
            name, LATENCY_MS, handlers, lambda message: message
        )
        sharing = work_sharing.make_work_sharing(
            name,
            caller,
            clock,
            random.Random(number),
            lambda: view,
            peer_loads.PeerLoads(clock, lambda: 800),
        )
        scheduler.RequestScheduler(_UnusedServer(), clock, 1, sharing=sharing)
        handlers[name] = sharing.handlers()
        callers.append(caller)
    return callers


def main():
    """Print the calls and bytes per second of one agent."""
    duration_s = float(sys.argv[1]) if len(sys.argv) > 1 else DURATION_S
    callers = start_agents()
    gevent.sleep(WARM_UP_S)
    calls = sum(c.calls for c in callers)
    content_bytes = sum(c.bytes for c in callers)
    gevent.sleep(duration_s)
    calls = (sum(c.calls for c in callers) - calls) / duration_s / AGENT_COUNT
    content_bytes = (
        (sum(c.bytes for c in callers) - content_bytes)
        / duration_s
        / AGENT_COUNT
    )
    # Counts sending and receiving: each call and each reply is sent by one
    # agent and received by another.
    total_bytes_per_s = 2 * (content_bytes + calls * 2 * HEADER_BYTES)
    print(
        f'agents={AGENT_COUNT} calls_sent_per_s={calls:.2f} '
        f'content_bytes_per_s={2 * content_bytes:.0f} '
        f'with_headers_bytes_per_s={total_bytes_per_s:.0f}'
    )


if __name__ == '__main__':
    main()
