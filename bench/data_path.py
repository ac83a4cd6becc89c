"""Packet rate of one balancer process beside a bare loop.

The bare loop receives, unpacks, hashes, packs and sends with plain blocking
sockets. Both get the same packets from the same sender processes in the same
run; a counting sink takes what they send.

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

SECONDS = 5
WARM_UP_SECONDS = 1
CONNECTIONS = 2000
SENDERS = 2
PAYLOAD_BYTES = 100
SERVICES = 20
HOSTS_PER_SERVICE = 11
BALANCER_PORT = 25001
SINK_PORT = 25002


def make_packets():
    """Return encoded DATA packets of many connections."""
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
                service_address=f'127.0.1.1:{1000 + i % SERVICES}',
                return_address=f'127.0.0.1:{SINK_PORT}',
            )
        )
        for i in range(CONNECTIONS)
    ]


def send_packets(stop):
    """Keep the receive buffer of the process under test full."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    packets = make_packets()
    destination = ('127.0.0.1', BALANCER_PORT)
    while not stop.is_set():
        for data in packets:
            sock.sendto(data, destination)


def drain_sink(stop):
    """Read and drop what arrives at the sink."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.bind(('127.0.0.1', SINK_PORT))
    sock.settimeout(0.2)
    while not stop.is_set():
        try:
            sock.recv(65536)
        except TimeoutError:
            continue


def run_bare_loop(results, seconds):
    """Receive, unpack, hash, pack and send, with nothing else."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 << 20)
    sock.bind(('127.0.0.1', BALANCER_PORT))
    sink = ('127.0.0.1', SINK_PORT)

    def forward_until(end):
        count = 0
        while time.monotonic() < end:
            for _ in range(64):
                data = sock.recv(65536)
                array = msgpack.unpackb(data)
                xxhash.xxh3_64_intdigest(array[2].to_bytes(8, 'big'))
                header = msgpack.packb((1, 1, 'service', 1, 'balancer', []))
                sock.sendto(header + data, sink)
            count += 64
        return count

    measure(results, seconds, forward_until)


def run_data_path(results, seconds):
    """Run the shipped DataPath on the shipped DatagramSocket."""
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

    def forward_until(end):
        before = counters.forwarded
        gevent.sleep(max(0, end - time.monotonic()))
        return counters.forwarded - before

    measure(results, seconds, forward_until)


def make_fleet():
    """Return a fleet with the services that the packets go to."""
    from kingcupport.fleet import backend_server
    from kingcupport.fleet import fleet
    from kingcupport.fleet import service

    services = {
        f'service-{i}': service.Service(
            f'service-{i}', address.Address('127.0.1.1', 1000 + i)
        )
        for i in range(SERVICES)
    }
    members = {
        f'host-{i}-{j}': backend_server.BackendServer(
            f'host-{i}-{j}',
            f'service-{i}',
            address.Address('127.0.0.1', 30000 + i * 100 + j),
            address.Address('127.0.0.1', 40000 + i * 100 + j),
            'dakar-plateau',
        )
        for i in range(SERVICES)
        for j in range(HOSTS_PER_SERVICE)
    }
    return fleet.Fleet(1, 'd', services, {}, members)


def measure(results, seconds, forward_until):
    """Report packets and processor time of a steady interval."""
    forward_until(time.monotonic() + WARM_UP_SECONDS)
    cpu_start = time.process_time()
    start = time.monotonic()
    count = forward_until(start + seconds)
    elapsed = time.monotonic() - start
    cpu = time.process_time() - cpu_start
    rss_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    results.put((count / elapsed, cpu / count * 1e6, rss_kb))
    results.close()
    results.join_thread()
    os._exit(0)


def run(target, seconds):
    """Run one process under test with its senders and sink."""
    results = multiprocessing.Queue()
    stop = multiprocessing.Event()
    sink = multiprocessing.Process(target=drain_sink, args=(stop,))
    sink.start()
    tested = multiprocessing.Process(target=target, args=(results, seconds))
    tested.start()
    time.sleep(0.5)
    senders = [
        multiprocessing.Process(target=send_packets, args=(stop,))
        for _ in range(SENDERS)
    ]
    for sender in senders:
        sender.start()
    result = results.get(timeout=seconds + 30)
    stop.set()
    for process in (tested, sink, *senders):
        process.join()
    return result


def main():
    """Print one line for the bare loop and one for the balancer."""
    seconds = float(sys.argv[1]) if len(sys.argv) > 1 else SECONDS
    bare = run(run_bare_loop, seconds)
    shipped = run(run_data_path, seconds)
    for name, (rate, cpu_us, rss_kb) in (
        ('bare_loop', bare),
        ('balancer', shipped),
    ):
        print(
            f'{name} packets_per_s={rate:.0f} cpu_us_per_packet={cpu_us:.2f} '
            f'rss_kb={rss_kb}'
        )
    print(f'balancer_share_of_bare_loop={shipped[0] / bare[0]:.3f}')


if __name__ == '__main__':
    main()
