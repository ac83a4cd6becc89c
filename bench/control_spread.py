"""Measures the control plane of many instances on loopback.

Run with ``PYTHONPATH=tests .venv/bin/python bench/control_spread.py``. All
instances and the stand-in for the configuration service share one process and
one core, so times and CPU figures are upper bounds. Prints one figure per
line.
"""

import argparse
import collections
import json
import random
import statistics
import subprocess
import sys
import time

import control_support as support
import gevent
import gevent.socket
import msgpack

from kingcupport.common import address as address_module
from kingcupport.common import clock as clock_module
from kingcupport.control import configuration_poller
from kingcupport.control import fleet_registry
from kingcupport.fleet import documents
from kingcupport.fleet import release_note
from kingcupport.observability import audit_trail

NOTE_COUNT = 10
STEADY_STATE_S = 20
SPREAD_TIMEOUT_S = 30
REPEAT_COUNT = 20
CHANGES_PER_DAY = 910
SECONDS_PER_DAY = 86_400
DESIGN_PROCESS_COUNT = 6_240
# Headers of a datagram, and of a TCP write with its acknowledgement.
UDP_HEADER_BYTES = 28
TCP_HEADER_BYTES = 80


class TrafficCounter:
    """Counts the bytes that all gevent sockets of this process send."""

    def __init__(self):
        self.counts = collections.Counter()
        socket_class = gevent.socket.socket
        send = socket_class.send
        sendto = socket_class.sendto

        def counted_send(sock, data, *args, **kwargs):
            sent = send(sock, data, *args, **kwargs)
            self.counts['tcp_bytes'] += sent + TCP_HEADER_BYTES
            return sent

        def counted_sendto(sock, data, *args):
            self.counts['udp_bytes'] += len(data) + UDP_HEADER_BYTES
            return sendto(sock, data, *args)

        socket_class.send = counted_send
        socket_class.sendto = counted_sendto


def _print_figure(name, value, unit, remark=''):
    print(f'{name}: {value} {unit}{remark and f" ({remark})"}', flush=True)


def _start_instances(instance_count, rate_budget_per_s):
    service = support.ConfigurationService().start()
    processes = [
        support.Process(
            f'b{i}', service.address, rate_budget_per_s=rate_budget_per_s
        )
        for i in range(instance_count)
    ]
    service.publish(support.make_first_note([p.address for p in processes]))
    for process in processes:
        process.start()
    if not support.wait_until(
        lambda: all(p.plane.ready for p in processes), SPREAD_TIMEOUT_S
    ):
        sys.exit('the processes did not become ready')
    return service, processes


def _time_spread(processes, revision):
    started = time.monotonic()
    done = support.wait_until(
        lambda: all(p.fleet.revision >= revision for p in processes),
        SPREAD_TIMEOUT_S,
    )
    if not done:
        sys.exit(f'revision {revision} is not in force everywhere')
    return time.monotonic() - started


def _spread_from_service(service, processes):
    # Notes are published at a random point of the poll interval.
    gevent.sleep(random.uniform(1, 3))
    service.publish(support.make_note(service.fleet))
    return _time_spread(processes, service.fleet.revision)


def _spread_from_peer(processes):
    gevent.sleep(random.uniform(1, 3))
    registry = random.choice(processes).plane.registry
    note = support.make_note(registry.fleet)
    registry.offer_note(note, 'bench')
    return _time_spread(processes, note.revision)


def _print_spread(name, times_s, instance_count):
    _print_figure(
        name,
        f'median {statistics.median(times_s):.2f}, max {max(times_s):.2f}',
        's',
        f'{len(times_s)} notes, {instance_count} instances',
    )


def _measure_steady_state(service, processes, traffic):
    """Measure an unchanging fleet whose configuration service is up."""
    before = traffic.counts.copy()
    reads = service.reads
    cpu_s = time.process_time()
    started = time.monotonic()
    gevent.sleep(STEADY_STATE_S)
    elapsed_s = time.monotonic() - started
    cpu_s = time.process_time() - cpu_s
    sent = traffic.counts - before
    count = len(processes)
    # UDP bytes count twice, because each datagram is sent by one process and
    # received by another. TCP bytes count once: the service is one end of
    # every HTTP connection.
    bytes_per_process = (2 * sent['udp_bytes'] + sent['tcp_bytes']) / count
    _print_figure(
        'control bytes a process, no change',
        f'{bytes_per_process / elapsed_s:.0f}',
        'B/s',
        f'sent and received, headers estimated, {count} instances',
    )
    _print_figure(
        'CPU a process, no change',
        f'{100 * cpu_s / elapsed_s / count:.3f}',
        '% of a core',
        'the stand-in service included',
    )
    _print_figure(
        'configuration reads',
        f'{(service.reads - reads) / elapsed_s:.1f}',
        '/s',
        f'measured, {count} instances',
    )


def _measure_changes(service, processes, traffic):
    before = traffic.counts.copy()
    times_s = [
        _spread_from_service(service, processes) for _ in range(NOTE_COUNT)
    ]
    _print_spread('in force everywhere, service up', times_s, len(processes))
    sent = traffic.counts - before
    _print_figure(
        'TCP bytes a process and note, polls included',
        f'{sent["tcp_bytes"] / len(processes) / NOTE_COUNT:.0f}',
        'B',
        'sent, headers estimated',
    )


def _measure_instances(instance_count, design_process_count, traffic):
    """Measure instances at the poll rate of a fleet of a given size."""
    budget_per_s = configuration_poller.RATE_BUDGET_PER_S
    share = min(1, instance_count / design_process_count)
    service, processes = _start_instances(instance_count, budget_per_s * share)
    _print_figure(
        'poll interval',
        f'{statistics.mean(_delays_ms(processes[0].plane.poller)):.0f}',
        'ms',
        f'mean, as in a fleet of {design_process_count} processes',
    )
    _measure_steady_state(service, processes, traffic)
    _measure_changes(service, processes, traffic)
    service.stop()
    times_s = [_spread_from_peer(processes) for _ in range(NOTE_COUNT)]
    _print_spread(
        'in force everywhere, peers alone, service down',
        times_s,
        instance_count,
    )
    for process in processes:
        process.stop()


def _make_registry():
    clock = clock_module.make_system_clock()
    return fleet_registry.FleetRegistry(audit_trail.AuditTrail(clock))


def _delays_ms(poller):
    return [poller.next_delay_ms() for _ in range(1000)]


def _print_reads_by_size():
    for count in (50, 640, 1_000, 3_000, 6_240):
        registry = _make_registry()
        addresses = [
            address_module.Address(f'10.0.{i // 250}.{i % 250}', 9000)
            for i in range(count)
        ]
        registry.offer_note(support.make_first_note(addresses), 'bench')
        poller = configuration_poller.ConfigurationPoller(
            registry, None, random.Random(1), collections.Counter()
        )
        reads_per_s = count * 1000 / statistics.mean(_delays_ms(poller))
        _print_figure(
            'configuration reads by the rate budget',
            f'{reads_per_s:.0f}',
            '/s',
            f'computed from the intervals, {count} processes',
        )


def _median_ms(action):
    times_ms = []
    for _ in range(REPEAT_COUNT):
        started = time.perf_counter()
        action()
        times_ms.append((time.perf_counter() - started) * 1000)
    return statistics.median(times_ms)


def _measure_design_size():
    fleet = support.make_large_fleet()
    fleet_document = documents.fleet_to_dict(fleet)
    text = json.dumps(fleet_document, separators=(',', ':')).encode()
    packed = msgpack.packb(fleet_document)
    size = '5,600 hosts, 640 balancers, 520 services'
    _print_figure('composed fleet as JSON', len(text), 'B', size)
    _print_figure('composed fleet as msgpack', len(packed), 'B', size)
    note = support.make_note(
        fleet, added=[support.make_backend_server('new', 'service-000', 65000)]
    )
    note_document = release_note.note_to_dict(note)
    _print_figure(
        'note that adds a host', len(json.dumps(note_document)), 'B', 'JSON'
    )
    registry = _make_registry()
    registry.offer_fleet(fleet, 'bench')

    def accept_whole_fleet():
        _make_registry().offer_plain_fleet(json.loads(text), 'bench')

    def accept_note():
        joining_registry = _make_registry()
        joining_registry.offer_fleet(fleet, 'bench')
        joining_registry.offer_plain_note(note_document, 'bench')

    def load_only():
        _make_registry().offer_fleet(fleet, 'bench')

    load_ms = _median_ms(load_only)
    note_ms = _median_ms(accept_note) - load_ms
    _print_figure(
        'parse and accept the whole fleet',
        f'{_median_ms(accept_whole_fleet):.1f}',
        'ms',
    )
    _print_figure('parse and accept a note', f'{note_ms:.1f}', 'ms')
    share = 100 * note_ms / 1000 * CHANGES_PER_DAY / SECONDS_PER_DAY
    _print_figure(
        'CPU for accepted notes',
        f'{share:.4f}',
        '% of a core',
        f'computed, {CHANGES_PER_DAY} changes a day',
    )


def _memory_kb(key):
    with open('/proc/self/status', encoding='ascii') as status:
        (line,) = (s for s in status if s.startswith(key))
    return int(line.split()[1])


def _print_memory():
    """Print the memory of this process, which does nothing else."""
    libraries_kb = _memory_kb('VmRSS')
    text = sys.stdin.read()
    process = support.Process('balancer-000').start()
    without_fleet_kb = _memory_kb('VmRSS')
    registry = process.plane.registry
    registry.offer_plain_fleet(json.loads(text), 'bench')
    del text
    gevent.sleep(1)
    with_fleet_kb = _memory_kb('VmRSS')
    for number in range(fleet_registry.MAX_KEPT_NOTES):
        entry = support.make_backend_server(
            f'new-{number}', 'service-000', 65_000 + number
        )
        registry.offer_note(
            support.make_note(registry.fleet, added=[entry]), 'bench'
        )
    gevent.sleep(1)
    _print_figure('RSS, libraries and bench loaded', libraries_kb, 'KB')
    _print_figure('RSS, control plane without a fleet', without_fleet_kb, 'KB')
    _print_figure('RSS, control plane with the fleet', with_fleet_kb, 'KB')
    _print_figure('RSS, after 64 more notes', _memory_kb('VmRSS'), 'KB')
    _print_figure('peak RSS', _memory_kb('VmHWM'), 'KB')
    process.stop()


def _measure_memory():
    fleet_document = documents.fleet_to_dict(support.make_large_fleet())
    subprocess.run(
        [sys.executable, __file__, '--memory'],
        input=json.dumps(fleet_document, separators=(',', ':')),
        text=True,
        check=True,
    )


def main():
    """Run every measurement."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--instances', type=int, default=100)
    parser.add_argument('--memory', action='store_true')
    options = parser.parse_args()
    if options.memory:
        _print_memory()
        return
    _measure_design_size()
    _measure_memory()
    _print_reads_by_size()
    traffic = TrafficCounter()
    for design_process_count in (options.instances, DESIGN_PROCESS_COUNT):
        _measure_instances(options.instances, design_process_count, traffic)


if __name__ == '__main__':
    main()
