"""Compares the packet rate of a balancer process with a minimal loop.

The minimal ("bare") loop receives, unpacks, hashes, packs and sends with
blocking sockets. Both receive the same packets from the same number of sender
processes in the same run, and a sink receives what they send.

    python bench/data_path.py [seconds]
"""

import multiprocessing
import os
import resource
import socket
import sys
import time

import msgpack
import xxhash

from kingcupport.common import address
from kingcupport.wire import packet as packet_module

DURATION_S = 5
WARM_UP_S = 1
CONNECTION_COUNT = 2000
SENDER_COUNT = 2
PAYLOAD_BYTES = 100
SERVICE_COUNT = 20
HOSTS_PER_SERVICE = 11
BALANCER_PORT = 25001
SINK_PORT = 25002


def make_packets():
    """Return one encoded DATA packet of each connection."""
    return [
        packet_module.encode_packet(
            packet_module.Packet(
                kind=int(packet_module.PacketKind.DATA),
                connection_id=xxhash.xxh3_64_intdigest(i.to_bytes(4, 'big')),
                stream_id=i + 1,
                offset=0,
                ack=0,
                payload=bytes(PAYLOAD_BYTES),
                caller_address='127.0.0.1:1024',
                service_address=f'127.0.1.1:{1000 + i % SERVICE_COUNT}',
                return_address=f'127.0.0.1:{SINK_PORT}',
            )
        )
        for i in range(CONNECTION_COUNT)
    ]


def send_packets(stop):
    """Send packets until stopped; keeps the receive buffer under test full."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    packets = make_packets()
    destination = ('127.0.0.1', BALANCER_PORT)
    while not stop.is_set():
        for data in packets:
            sock.sendto(data, destination)


def drain_sink(stop):
    """Receive and discard what arrives at the sink."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.bind(('127.0.0.1', SINK_PORT))
    sock.settimeout(0.2)
    while not stop.is_set():
        try:
            sock.recv(65536)
        except TimeoutError:
            continue


def run_bare_loop(results, duration_s):
    """Run the loop that only receives, unpacks, hashes, packs and sends."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 << 20)
    sock.bind(('127.0.0.1', BALANCER_PORT))
    sink = ('127.0.0.1', SINK_PORT)

    def forward_until(end_s):
        count = 0
        while time.monotonic() < end_s:
            for _ in range(64):
                data = sock.recv(65536)
                array = msgpack.unpackb(data)
                xxhash.xxh3_64_intdigest(array[2].to_bytes(8, 'big'))
                header = msgpack.packb((1, 1, 'service', 1, 'balancer', []))
                sock.sendto(header + data, sink)
            count += 64
        return count

    measure(results, duration_s, forward_until)


def run_data_path(results, duration_s):
    """Run the production DataPath on the production DatagramSocket."""
    import gevent

    from kingcupport.balancer import data_path
    from kingcupport.balancer import data_path_counters
    from kingcupport.common import clock
    from kingcupport.routing import hint_cache
    from kingcupport.routing import suspects
    from kingcupport.wire import datagram_socket
    from kingcupport.wire import packet_format

    sock = datagram_socket.DatagramSocket(
        address.Address('127.0.0.1', BALANCER_PORT), lambda destination: None
    )
    counters = data_path_counters.DataPathCounters()
    path = data_path.DataPath(
        make_fleet(),
        address.Address('127.0.0.1', BALANCER_PORT),
        packet_format.make_packet_format(),
        lambda data, destination: sock.send(data, ('127.0.0.1', SINK_PORT)),
        hint_cache.HintCache(),
        suspects.Suspects(clock.make_system_clock(), 2000),
        frozenset,
        lambda datagram, source: None,
        counters,
    )
    gevent.spawn(sock.receive_forever, path.on_data)

    def forward_until(end_s):
        before = counters.forwarded
        gevent.sleep(max(0, end_s - time.monotonic()))
        return counters.forwarded - before

    measure(results, duration_s, forward_until)


def make_fleet():
    """Return a fleet with the services that the packets address."""
    from kingcupport.fleet import backend_server
    from kingcupport.fleet import fleet
    from kingcupport.fleet import service

    services = {
        f'service-{i}': service.Service(
            f'service-{i}', address.Address('127.0.1.1', 1000 + i)
        )
        for i in range(SERVICE_COUNT)
    }
    hosts = {
        f'host-{i}-{j}': backend_server.BackendServer(
            f'host-{i}-{j}',
            f'service-{i}',
            address.Address('127.0.0.1', 30000 + i * 100 + j),
            address.Address('127.0.0.1', 40000 + i * 100 + j),
            'dakar-plateau',
        )
        for i in range(SERVICE_COUNT)
        for j in range(HOSTS_PER_SERVICE)
    }
    return fleet.Fleet(1, 'd', services, {}, hosts)


def measure(results, duration_s, forward_until):
    """Report the packet rate and processor time after a warm-up, and exit."""
    forward_until(time.monotonic() + WARM_UP_S)
    cpu_start_s = time.process_time()
    start = time.monotonic()
    count = forward_until(start + duration_s)
    elapsed_s = time.monotonic() - start
    cpu_s = time.process_time() - cpu_start_s
    rss_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    results.put((count / elapsed_s, cpu_s / count * 1e6, rss_kb))
    results.close()
    results.join_thread()
    os._exit(0)


def run(target, duration_s):
    """Run one process under test with its senders and its sink."""
    results = multiprocessing.Queue()
    stop = multiprocessing.Event()
    sink = multiprocessing.Process(target=drain_sink, args=(stop,))
    sink.start()
    process_under_test = multiprocessing.Process(
        target=target, args=(results, duration_s)
    )
    process_under_test.start()
    time.sleep(0.5)
    senders = [
        multiprocessing.Process(target=send_packets, args=(stop,))
        for _ in range(SENDER_COUNT)
    ]
    for sender in senders:
        sender.start()
    result = results.get(timeout=duration_s + 30)
    stop.set()
    for process in (process_under_test, sink, *senders):
        process.join()
    return result


def main():
    """Print a line for the bare loop, one for the balancer and their ratio."""
    duration_s = float(sys.argv[1]) if len(sys.argv) > 1 else DURATION_S
    bare_loop = run(run_bare_loop, duration_s)
    balancer = run(run_data_path, duration_s)
    for name, (packets_per_s, cpu_us, rss_kb) in (
        ('bare_loop', bare_loop),
        ('balancer', balancer),
    ):
        print(
            f'{name} packets_per_s={packets_per_s:.0f} '
            f'cpu_us_per_packet={cpu_us:.2f} '
            f'rss_kb={rss_kb}'
        )
    print(f'balancer_share_of_bare_loop={balancer[0] / bare_loop[0]:.3f}')


if __name__ == '__main__':
    main()
