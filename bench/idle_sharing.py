"""Measures the messages of agents that share no work because there is none.

    python bench/idle_sharing.py [seconds]

Eleven agents, about as many as a service has at the planned size, run the
shipped WorkSharing and answer each other over an in-memory transport.
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

AGENTS = 11
SECONDS = 20
WARM_UP_SECONDS = 3
LATENCY_MS = 0.5
# TCP and IP headers of a message and of its acknowledgement.
HEADER_BYTES = 80


class _UnusedServer(backend_port.BackendPort):
    def run(self, request):
        raise AssertionError('no request is sent')


def start_agents():
    """Start the agents and return their callers."""
    clock = clock_module.make_system_clock()
    names = tuple(f'host{n}' for n in range(AGENTS))
    view = service_view.ServiceView('service', 1, names, AGENTS, 40)
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
    """Print calls and bytes a second of one agent."""
    seconds = float(sys.argv[1]) if len(sys.argv) > 1 else SECONDS
    callers = start_agents()
    gevent.sleep(WARM_UP_SECONDS)
    calls = sum(c.calls for c in callers)
    size = sum(c.bytes for c in callers)
    gevent.sleep(seconds)
    calls = (sum(c.calls for c in callers) - calls) / seconds / AGENTS
    size = (sum(c.bytes for c in callers) - size) / seconds / AGENTS
    # Each call is sent by one agent and received by another one, and so is
    # its reply.
    total = 2 * (size + calls * 2 * HEADER_BYTES)
    print(
        f'agents={AGENTS} calls_sent_per_s={calls:.2f} '
        f'content_bytes_per_s={2 * size:.0f} '
        f'with_headers_bytes_per_s={total:.0f}'
    )


if __name__ == '__main__':
    main()
