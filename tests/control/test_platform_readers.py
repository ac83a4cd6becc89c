"""Tests the HTTP readers with slow, oversized and malformed responses.

Guards against responses of the platform that block a process, exhaust its
memory or terminate it.
"""

import collections
import contextlib
import gzip
import random

import control_support as support
import gevent
import gevent.server
import pytest

from kingcupport.common import address as address_module
from kingcupport.common import clock as clock_module
from kingcupport.common import errors
from kingcupport.control import configuration_poller
from kingcupport.control import configuration_reader
from kingcupport.control import fleet_registry
from kingcupport.control import http_reader
from kingcupport.control import instance_list
from kingcupport.observability import audit_trail

State = instance_list.InstanceState


@contextlib.contextmanager
def _serve(answer):
    """Serve raw bytes, or call a function with the socket, per request."""

    def serve(sock, remote):
        sock.recv(4096)
        answer(sock) if callable(answer) else sock.sendall(answer)

    server = gevent.server.StreamServer(('127.0.0.1', 0), serve)
    server.start()
    yield address_module.Address('127.0.0.1', server.server_port)
    server.stop(timeout=0)


def _make_response(body, status='200 OK'):
    head = f'HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n'
    return head.encode() + body


def _make_gzip_response(body):
    head = (
        'HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    return head.encode() + body


def _send_byte_by_byte(sock):
    sock.sendall(b'HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n')
    with contextlib.suppress(OSError):
        while True:
            sock.sendall(b'x')
            gevent.sleep(0.05)


INVALID_RESPONSES = [
    pytest.param(_make_response(b'', '503 Unavailable'), id='status'),
    pytest.param(_make_response(b'{'), id='not JSON'),
    pytest.param(_make_response(b'[' * 100_000), id='nested'),
    pytest.param(_make_response(b'7'), id='number'),
    pytest.param(_make_response(b' ' * 5_000_000), id='oversized'),
    pytest.param(_make_response(b'[]')[:-1], id='truncated'),
    pytest.param(random.Random(2).randbytes(999), id='random bytes'),
    pytest.param(_make_gzip_response(b'[]'), id='not gzip'),
    pytest.param(
        _make_gzip_response(gzip.compress(b'[]')[:-9]), id='gzip cut off'
    ),
    pytest.param(
        _make_gzip_response(gzip.compress(b' ' * 5_000_000)),
        id='gzip oversized',
    ),
    pytest.param(b'', id='closed'),
    pytest.param(lambda sock: gevent.sleep(9), id='silent'),
    pytest.param(_send_byte_by_byte, id='a byte at a time'),
]


@pytest.mark.parametrize('answer', INVALID_RESPONSES)
def test_invalid_response_is_an_error_in_bounded_time(answer, monkeypatch):
    monkeypatch.setattr(http_reader, 'TOTAL_TIMEOUT_MS', 300)
    with _serve(answer) as address:
        reader = configuration_reader.make_http_configuration_reader(address)
        instances = instance_list.make_http_instance_list(address)
        for read in (lambda: reader.read(0), reader.read_fleet):
            with pytest.raises(configuration_reader.ConfigurationError):
                read()
        with pytest.raises(instance_list.InstanceListError) as caught:
            instances.states()
    assert isinstance(caught.value, errors.KingcupportError)


def test_service_that_is_down_is_an_error():
    with _serve(b'') as address:
        pass
    reader = configuration_reader.make_http_configuration_reader(address)
    with pytest.raises(configuration_reader.ConfigurationError):
        reader.read(0)


def test_instance_states():
    body = b'{"instances": {"a": "live", "b": "leaving", "c": "gone"}}'
    with _serve(_make_response(body)) as address:
        states = instance_list.make_http_instance_list(address).states()
    assert states == {'a': State.LIVE, 'b': State.LEAVING, 'c': State.GONE}
    with (
        _serve(_make_response(b'{"instances": {"a": "asleep"}}')) as address,
        pytest.raises(instance_list.InstanceListError),
    ):
        instance_list.make_http_instance_list(address).states()


def test_compressed_response_is_read():
    body = gzip.compress(b'{"instances": {"a": "live"}}')
    with _serve(_make_gzip_response(body)) as address:
        states = instance_list.make_http_instance_list(address).states()
    assert states == {'a': State.LIVE}


@pytest.fixture
def service():
    service = support.ConfigurationService().start()
    yield service
    service.stop()


def _make_poller(service):
    audit = audit_trail.AuditTrail(clock_module.make_system_clock())
    registry = fleet_registry.FleetRegistry(audit)
    reader = configuration_reader.make_http_configuration_reader(
        service.address
    )
    poller = configuration_poller.ConfigurationPoller(
        registry, reader, random.Random(1), collections.Counter()
    )
    return registry, poller


def _publish(service, count):
    addresses = [address_module.Address('10.0.0.1', 9000)]
    service.publish(support.make_first_note(addresses))
    for _ in range(count - 1):
        service.publish(support.make_note(service.fleet))


@pytest.mark.parametrize('first_kept_revision', [0, 100])
def test_poll_reaches_the_latest_revision(service, first_kept_revision):
    # More notes than one response holds, or notes no longer kept.
    service.first_kept_revision = first_kept_revision
    _publish(service, 150)
    registry, poller = _make_poller(service)
    assert poller.poll()
    assert registry.fleet == service.fleet


@pytest.mark.parametrize('has_malformed_note', [False, True])
def test_poll_on_another_branch_reads_the_whole_fleet(
    service, has_malformed_note
):
    # Guards against a process that keeps the rejected side of a conflict.
    _publish(service, 1)
    registry, poller = _make_poller(service)
    poller.poll()
    conflicting_note = support.make_note(
        registry.fleet, added=[support.make_service('audio', 9)]
    )
    registry.offer_note(conflicting_note, 'test')
    service.publish(support.make_note(service.fleet))
    service.publish(support.make_note(service.fleet))
    if has_malformed_note:
        service.malformed_notes = [{'revision': 4}]
    poller.poll()
    assert registry.fleet == service.fleet


def test_interval_follows_the_rate_budget(service):
    # Guards the service's limit of 2,000 calls per second at the design size.
    registry, poller = _make_poller(service)
    assert 750 <= poller.next_delay_ms() <= 1250
    registry.offer_fleet(support.make_large_fleet(), 'test')
    delays_ms = [poller.next_delay_ms() for _ in range(1000)]
    assert 6240 / (sum(delays_ms) / 1e6) < 1.1 * 1000


def test_fleets_that_are_not_accepted_are_read_less_often(service):
    # Guards the service and the limit of 4 KB/s per process against reads of
    # 500 KB at every poll.
    _publish(service, 2)
    _, poller = _make_poller(service)
    poller.poll()
    service.first_kept_revision = 100
    for _ in range(6):
        poller.poll()
    assert poller.next_delay_ms() > 16 * 750
    service.first_kept_revision = 0
    poller.poll()
    assert poller.next_delay_ms() <= 1250
