"""Measures the cost of at-most-once execution.

Availability and latency come from the production code in the simulation of
the tests (simulated time, 0.5 ms one way between agents). Processor time and
memory are measured on this machine. Run from the root of the repository::

    PYTHONPATH=tests python bench/claim_cost.py
"""

import random
import time
import tracemalloc

import claim_simulation
import msgpack

from kingcupport.common import clock as clock_module
from kingcupport.requests import answer as answer_module
from kingcupport.requests import claim_index
from kingcupport.requests import claim_record
from kingcupport.requests import keyed_results
from kingcupport.wire import claim_messages
from kingcupport.wire import message_codec

HOST_NAMES = tuple(f'gate-{number}' for number in range(1, 8))
RETENTION_MS = 60_000
REQUEST_INTERVAL_MS = 20
WARM_UP_MS = 2000
RECORD_COUNT = 20_000
REQUEST_COUNT = 500
# Claims known to an agent at 8 keyed requests per second on each host.
LISTED_CLAIM_COUNT = 14_400


class KeyedLoad:
    """Sends keyed requests at a constant rate to randomly chosen hosts.

    Args:
        simulation: claim_simulation.Simulation.
    """

    def __init__(self, simulation):
        self._simulation = simulation
        self._rng = random.Random(7)
        self._sent = []

    def send_for(self, duration_ms):
        """Send one request per interval to a running agent."""
        for _ in range(round(duration_ms / REQUEST_INTERVAL_MS)):
            agents = self._simulation.agents.values()
            agent = self._rng.choice([a for a in agents if a.alive])
            key = f'booking-{len(self._sent)}'
            task = agent.submit(key, timeout_ms=5000)
            self._sent.append((self._simulation.now_ms, task))
            self._simulation.advance(REQUEST_INTERVAL_MS)

    def report(self, label, since_ms):
        """Print the share of refused requests and the time of the last one."""
        self._simulation.advance(6000)
        answered = [
            (sent_ms - since_ms, task.get(block=False))
            for sent_ms, task in self._sent
            if sent_ms >= since_ms and task.ready()
        ]
        refused = [ms for ms, answer in answered if answer.status != 200]
        last_ms = max(refused, default=0)
        during = [ms for ms, _ in answered if ms <= last_ms]
        refused_percent = 100 * len(refused) / max(1, len(during))
        print(
            f'{label:<44} refused={len(refused):5d} of {len(answered):5d}  '
            f'last_after_s={last_ms / 1000:6.2f}  '
            f'share_until_then={refused_percent:5.1f} %'
        )


def start_service(hosts=HOST_NAMES):
    """Return a simulated service and its load after the warm-up."""
    simulation = claim_simulation.Simulation(retention_ms=RETENTION_MS)
    simulation.start_first_fleet(hosts)
    load = KeyedLoad(simulation)
    load.send_for(WARM_UP_MS)
    return simulation, load


def measure_until_listed_as_gone(hosts, lag_ms):
    """Kill a host that the instance list reports as gone after a lag."""
    simulation, load = start_service(hosts)
    died_ms = simulation.now_ms
    simulation.kill(hosts[0])
    load.send_for(lag_ms)
    simulation.set_instance_state(hosts[0], 'gone')
    load.send_for(5000)
    lag_s = round(lag_ms / 1000)
    load.report(
        f'{len(hosts)} hosts, dies, listed as gone after {lag_s} s', died_ms
    )


def measure_until_note(hosts, lag_ms):
    """Kill a host that a release note withdraws after a lag."""
    simulation, load = start_service(hosts)
    died_ms = simulation.now_ms
    simulation.kill(hosts[0])
    load.send_for(lag_ms)
    simulation.publish(withdrawn=[hosts[0]])
    for agent in simulation.agents.values():
        if agent.alive:
            agent.accept(simulation.fleets[-1])
            load.send_for(200)
    load.send_for(5000)
    load.report(
        f'{len(hosts)} hosts, dies, withdrawn after {lag_ms / 1000:.0f} s',
        died_ms,
    )


def measure_until_restart(hosts, lag_ms, restart_count):
    """Kill hosts and restart all of them after a lag."""
    simulation, load = start_service(hosts)
    died_ms = simulation.now_ms
    for name in hosts[:restart_count]:
        simulation.kill(name)
    load.send_for(lag_ms)
    for name in hosts[:restart_count]:
        simulation.start(name)
    load.send_for(RETENTION_MS + 10_000 if restart_count > 1 else 5000)
    load.report(
        f'{len(hosts)} hosts, '
        f'{restart_count} restart after {lag_ms / 1000:.0f} s',
        died_ms,
    )


def measure_planned_changes(hosts):
    """Drain a host under load, then add one to a fresh service."""
    simulation, load = start_service(hosts)
    start_ms = simulation.now_ms
    simulation.agents[hosts[0]].drain(5000)
    load.send_for(5000)
    load.report(f'{len(hosts)} hosts, one drains', start_ms)
    simulation, load = start_service(hosts)
    start_ms = simulation.now_ms
    simulation.start('gate-new')
    simulation.publish(added=['gate-new'])
    for agent in simulation.agents.values():
        agent.accept(simulation.fleets[-1])
        load.send_for(200)
    load.send_for(5000)
    load.report(f'{len(hosts)} hosts, note adds one, 200 ms a host', start_ms)


def measure_request_cost():
    """Print messages and simulated latency without and with a claim."""
    for keyed in (False, True):
        simulation, _ = start_service()
        simulation.advance(6000)
        sent = simulation.messages
        start_ms = simulation.now_ms
        latencies_ms = []
        for number in range(REQUEST_COUNT):
            agent = simulation.agents[HOST_NAMES[number % len(HOST_NAMES)]]
            started_ms = simulation.now_ms
            task = agent.submit(f'cost-{number}' if keyed else '')
            while not task.ready():
                simulation.advance(0.1)
            latencies_ms.append(simulation.now_ms - started_ms)
        idle_s = (simulation.now_ms - start_ms) / 1000
        print(
            f'{"claimed" if keyed else "unclaimed":<10} '
            f'requests={REQUEST_COUNT}  '
            f'messages={(simulation.messages - sent) / REQUEST_COUNT:.3f} '
            'each  '
            f'mean_latency_ms={sum(latencies_ms) / REQUEST_COUNT:.2f}  '
            f'max_latency_ms={max(latencies_ms):.2f}  over_s={idle_s:.0f}'
        )


def measure_processor_time():
    """Print the processor time of one claim, sender and receiver together."""
    simulation, _ = start_service(HOST_NAMES[:2])
    agent = simulation.agents[HOST_NAMES[0]]
    handler = agent.runner.handlers[claim_messages.Claim]
    keys = [f'cpu-{number}' for number in range(RECORD_COUNT)]
    started = time.perf_counter()
    for number, key in enumerate(keys):
        message = claim_messages.Claim(
            HOST_NAMES[1], 1, 1, key, b'f' * 16, f'a:{number}', 5000
        )
        data = message_codec.encode_message(message)
        reply = handler(message_codec.decode_message(data), HOST_NAMES[1])
        message_codec.decode_message(message_codec.encode_message(reply))
    each_us = (time.perf_counter() - started) / RECORD_COUNT * 1e6
    print(
        f'processor time of claim and grant, codecs included: {each_us:.1f}us'
    )


def measure_claim_list():
    """Print the cost of a peer's claim list after a change of the hosts."""
    clock = clock_module.make_system_clock()
    index = claim_index.ClaimIndex(clock)
    fill_index(index, make_keys(LISTED_CLAIM_COUNT), clock)
    started = time.perf_counter()
    records, _ = index.records_for_agent(HOST_NAMES[0], HOST_NAMES)
    now_ms = clock.monotonic_ms()
    entries = [claim_record.encode_record(r, now_ms) for r in records]
    size_bytes = len(msgpack.packb(entries))
    took_ms = (time.perf_counter() - started) * 1000
    print(
        f'list for one peer of {LISTED_CLAIM_COUNT} known claims: '
        f'{len(records)} claims, {size_bytes} bytes, {took_ms:.0f} ms'
    )


def make_keys(count):
    """Return keys formatted like UUIDs."""
    return [f'0f4c2a9e-6f0b-4d0a-9a1f-{n:012d}' for n in range(count)]


def fill_index(index, keys, clock):
    """Add a claim of each key to an index."""
    for number, key in enumerate(keys):
        holder = HOST_NAMES[number % len(HOST_NAMES)]
        index.claim(
            claim_record.ClaimRecord(
                # A copy, because decoding a message creates one.
                key=key.encode().decode(),
                fingerprint=bytes(16),
                attempt=f'{holder}:{2**62 + number}:{number}',
                holder=holder,
                holder_incarnation=2**62 + number,
                version=0,
                expires_ms=clock.monotonic_ms() + 900_000,
            )
        )


def measure_memory():
    """Print the memory of a stored claim and of a stored result."""
    clock = clock_module.make_system_clock()
    keys = make_keys(RECORD_COUNT)
    tracemalloc.start()
    index = claim_index.ClaimIndex(clock)
    before = tracemalloc.get_traced_memory()[0]
    fill_index(index, keys, clock)
    claim_bytes = (tracemalloc.get_traced_memory()[0] - before) / RECORD_COUNT
    results = keyed_results.KeyedResults(clock)
    before = tracemalloc.get_traced_memory()[0]
    for number, key in enumerate(keys):
        pending_result = results.begin(key, bytes(16), f'{key}:{number}')
        results.start(pending_result)
        body = b'x' * 200
        headers = ((b'content-type', b'application/json'),)
        answer = answer_module.Answer(200, headers, body + bytes([65]))
        results.keep_answer(
            pending_result, answer, clock.monotonic_ms() + 900_000
        )
    result_bytes = (tracemalloc.get_traced_memory()[0] - before) / RECORD_COUNT
    accounted_bytes = results.used_bytes / RECORD_COUNT
    tracemalloc.stop()
    print(f'claim: {claim_bytes:.0f} bytes each over {RECORD_COUNT} claims')
    print(
        f'result with a body of 201 bytes: {result_bytes:.0f} bytes each, '
        f'counted against the bound as {accounted_bytes:.0f}'
    )


def main():
    """Run all measurements."""
    print(f'retention_s={RETENTION_MS / 1000:.0f}  load=50 requests/s')
    for lag_ms in (10_000, 30_000):
        measure_until_listed_as_gone(HOST_NAMES, lag_ms)
    measure_until_listed_as_gone(HOST_NAMES[:3], 10_000)
    measure_until_note(HOST_NAMES, 10_000)
    measure_until_restart(HOST_NAMES, 3000, restart_count=1)
    measure_until_restart(HOST_NAMES, 3000, restart_count=2)
    measure_planned_changes(HOST_NAMES)
    measure_request_cost()
    measure_processor_time()
    measure_claim_list()
    measure_memory()


if __name__ == '__main__':
    main()
