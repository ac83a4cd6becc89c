"""Fleets, a configuration service and processes for control plane tests."""

import json
import random

import gevent
import gevent.pywsgi
import gevent.socket

from kingcupport.common import address as address_module
from kingcupport.common import clock as clock_module
from kingcupport.control import control_plane
from kingcupport.fleet import backend_server
from kingcupport.fleet import balancer
from kingcupport.fleet import documents
from kingcupport.fleet import fleet as fleet_module
from kingcupport.fleet import release_note
from kingcupport.fleet import service
from kingcupport.observability import audit_trail
from kingcupport.wire import datagrams

KINDS = ('services', 'balancers', 'backend_servers')
MAX_NOTES = 64
_PORTS = (15_000, 32_000)


def make_note(fleet, revision=None, added=(), changed=(), withdrawn=None):
    """Return a ReleaseNote based on a fleet, with entries grouped by kind."""
    by_class = {v: k for k, v in documents.ENTRY_CLASSES.items()}

    def group(entries):
        grouped = {kind: [] for kind in KINDS}
        for entry in entries:
            grouped[by_class[type(entry)]].append(entry)
        return {kind: tuple(rows) for kind, rows in grouped.items()}

    return release_note.ReleaseNote(
        revision or fleet.revision + 1,
        fleet.revision,
        fleet.digest,
        group(added),
        group(changed),
        {kind: tuple((withdrawn or {}).get(kind, ())) for kind in KINDS},
    )


def make_service(name='gate', port=80):
    return service.Service(name, address_module.Address('198.51.100.1', port))


def make_balancer(name, address):
    return balancer.Balancer(name, address, 'dakar')


def make_backend_server(name, service_name='gate', number=1):
    ip = f'10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}'
    return backend_server.BackendServer(
        name,
        service_name,
        address_module.Address(ip, 9000),
        address_module.Address(ip, 8000),
        'dakar',
    )


def make_first_note(addresses, base=None):
    """Return a note that adds a service and one balancer per address."""
    balancers = [make_balancer(f'b{i}', a) for i, a in enumerate(addresses)]
    return make_note(
        base or fleet_module.Fleet(), added=[make_service(), *balancers]
    )


class FakeClock(clock_module.Clock):
    """Clock whose time advances only when a caller sleeps."""

    now_ms = 0.0

    def monotonic_ms(self):
        return self.now_ms

    def utc_ms(self):
        return int(self.now_ms)

    def sleep_until(self, deadline_ms):
        self.now_ms = max(self.now_ms, deadline_ms)


class ConfigurationService:
    """Serves release notes and the fleet over the published protocol."""

    def __init__(self, first_kept_revision=0):
        self.fleet = fleet_module.Fleet()
        self.notes = []
        self.reads = 0
        self.answer_bytes = 0
        # Malformed plain notes, returned after the valid ones.
        self.malformed_notes = []
        self.first_kept_revision = first_kept_revision
        self._server = gevent.pywsgi.WSGIServer(
            ('127.0.0.1', 0), self._respond, log=None, error_log=None
        )

    def start(self):
        self._server.start()
        return self

    @property
    def address(self):
        return address_module.Address('127.0.0.1', self._server.server_port)

    def publish(self, note):
        self.fleet = release_note.apply_release_note(self.fleet, note)
        self.notes.append(note)

    def stop(self):
        self._server.stop(timeout=0)

    def _respond(self, environ, start_response):
        self.reads += 1
        status, document = self._find_document(environ)
        body = json.dumps(document).encode()
        self.answer_bytes += len(body)
        start_response(status, [('Content-Type', 'application/json')])
        return [body]

    def _find_document(self, environ):
        if environ['PATH_INFO'] == '/v1/fleet':
            return '200 OK', documents.fleet_to_dict(self.fleet)
        after = int(environ['QUERY_STRING'].removeprefix('after='))
        if after < self.first_kept_revision:
            return '410 Gone', {}
        later = [n for n in self.notes if n.revision > after][:MAX_NOTES]
        plain = [release_note.note_to_dict(n) for n in later]
        return '200 OK', plain + self.malformed_notes


def _bind_free_port():
    """Return a UDP socket whose port is free for TCP too.

    The port is below the ephemeral range, so that no outgoing connection can
    take it before the server listens on it.
    """
    while True:
        address = ('127.0.0.1', random.randint(*_PORTS))
        udp = gevent.socket.socket(type=gevent.socket.SOCK_DGRAM)
        try:
            udp.bind(address)
            with gevent.socket.socket() as tcp:
                tcp.bind(address)
            return udp
        except OSError:
            udp.close()


class Process:
    """A control plane with its UDP socket, set up as in a daemon."""

    def __init__(self, name, reader=None, seeds=(), seed=0, **options):
        self.name = name
        self._sock = _bind_free_port()
        self.address = address_module.Address(*self._sock.getsockname())
        clock = clock_module.make_system_clock()
        self.audit = audit_trail.AuditTrail(clock)
        self.plane = control_plane.make_control_plane(
            name=name,
            address=self.address,
            clock=clock,
            rng=random.Random(f'{name} {seed}'),
            audit=self.audit,
            send_datagram=self._send,
            reader=reader,
            seeds=seeds,
            **options,
        )
        self._task = None

    @property
    def fleet(self):
        return self.plane.registry.fleet

    def start(self):
        self.plane.start()
        self._task = gevent.spawn(self._receive)
        return self

    def stop(self):
        self.plane.stop()
        self._task.kill()
        self._sock.close()

    def _send(self, data, address):
        self._sock.sendto(data, address.as_tuple())

    def _receive(self):
        while True:
            data, _ = self._sock.recvfrom(2048)
            self.plane.gossip.on_notice(datagrams.decode_datagram(data))


def wait_until(condition, timeout_s):
    """Wait for a condition; return whether it became true in time."""
    with gevent.Timeout(timeout_s, False):
        while not condition():
            gevent.sleep(0.01)
        return True
    return False


def make_large_fleet(services=520, balancers=640, hosts=5600):
    """Return a fleet of the design size."""
    names = [f'service-{i:03}' for i in range(services)]
    entries = [make_service(n, 1000 + i) for i, n in enumerate(names)]
    entries += [
        make_balancer(
            f'balancer-{i:03}',
            address_module.Address(f'10.200.{i // 250}.{i % 250}', 9000),
        )
        for i in range(balancers)
    ]
    entries += [
        make_backend_server(f'host-{i:04}', names[i % services], i)
        for i in range(hosts)
    ]
    note = make_note(fleet_module.Fleet(), added=entries)
    return release_note.apply_release_note(fleet_module.Fleet(), note)
