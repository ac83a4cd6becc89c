"""Tests the client of the platform's store, including store failures."""

import json

import gevent
import gevent.server
import platform_standin
import pytest

from kingcupport.common import address
from kingcupport.flows import fleet_source
from kingcupport.platform import store_source


@pytest.fixture
def store():
    store = platform_standin.Store()
    yield store
    store.stop()


@pytest.fixture
def source(store):
    source = store_source.make_store_source(address.Address(*store.address))
    yield source
    source.close()


def test_all_pages_are_read(store, source):
    store.page_size = 2
    store.put_configuration(version=3)
    for number in range(5):
        store.put_server(f'i-{number}', f'10.0.0.{number}', 80)
    update = source.read_all()
    assert update.is_full_read
    assert update.configuration.version == 3
    assert len(update.servers) == 5
    assert update.revision == store.qualified_revision


def test_changes_are_read_from_a_revision(store, source):
    store.put_server('i-1', '10.0.0.1', 80)
    revision = source.read_all().revision
    store.put_server('i-2', '10.0.0.2', 80)
    store.remove('servers/i-1')
    update = source.read_changes(revision)
    assert [server.name for server in update.servers] == ['i-2']
    assert update.removed == [('i-1', store.qualified_revision)]
    assert not update.is_full_read


def test_watch_without_changes_returns(store, source):
    revision = source.read_all().revision
    update = source.read_changes(revision)
    assert update.revision == revision
    assert not update.servers


def test_lost_history_raises_history_lost_error(store, source):
    revision = source.read_all().revision
    store.put_configuration()
    store.forget_history()
    with pytest.raises(fleet_source.HistoryLostError):
        source.read_changes(revision)


def test_watch_across_a_restore_raises_history_lost_error(store, source):
    copy = store.take_copy()
    store.put_server('i-1', '10.0.0.1', 80)
    revision = source.read_all().revision
    store.restore(copy)
    for number in (2, 3):
        store.put_server(f'i-{number}', f'10.0.0.{number}', 80)
    with pytest.raises(fleet_source.HistoryLostError):
        source.read_changes(revision)


def test_restore_between_two_pages_raises_history_lost_error(store, source):
    store.page_size = 1
    copy = store.take_copy()
    for number in range(2):
        store.put_server(f'i-{number}', f'10.0.0.{number}', 80)
    answer_call = store._status_and_body

    def restore_after_first_page(path, query):
        answer = answer_call(path, query)
        if 'after' in query and store.era == 1:
            store.restore(copy)
            store.put_server('i-1', '10.0.0.1', 80)
            answer = answer_call(path, query)
        return answer

    store._status_and_body = restore_after_first_page
    with pytest.raises(fleet_source.HistoryLostError):
        source.read_all()
    assert [server.name for server in source.read_all().servers] == ['i-1']


def test_response_of_a_former_era_is_refused(store, source):
    store.era = 4
    revision = source.read_all().revision
    store.era = 3
    with pytest.raises(fleet_source.FormerEraError):
        source.read_changes(revision)


@pytest.mark.parametrize('era', ['', '-1', 'two', '1.0', '9' * 40, '40000'])
def test_malformed_era_raises_and_the_next_call_succeeds(store, source, era):
    store.era = era
    with pytest.raises(fleet_source.SourceError):
        source.read_all()
    store.era = 2
    assert source.read_all().revision == store.qualified_revision


def test_removal_without_a_revision_names_no_server_to_use(store, source):
    store.put_server('i-1', '10.0.0.1', 80)
    revision = source.read_all().revision
    store.remove('servers/i-1')
    store.put_server('i-2', '10.0.0.2', 80)
    store.history.append(
        {'key': 'servers/i-2', 'revision': 2**60, 'removed': True}
    )
    update = source.read_changes(revision)
    assert [name for name, _ in update.removed] == ['i-1']
    assert [name for name, _ in update.invalid] == ['i-2']


def test_invalid_entries_are_skipped(store, source):
    store.put_server('i-1', '10.0.0.1', 80)
    store.put('servers/i-2', b'\xff\xfe')
    store.put_server('i-3', '10.0.0.3', 80, state='resting')
    update = source.read_all()
    assert [server.name for server in update.servers] == ['i-1']
    assert [name for name, _ in update.invalid] == ['i-2', 'i-3']


def test_entry_of_an_unknown_data_centre_is_skipped(store, source):
    source.data_centres = frozenset({'dakar'})
    store.put_server('i-1', '10.0.0.1', 80)
    store.put_server('i-2', '10.0.0.2', 80, zone='elsewhere')
    update = source.read_all()
    assert [server.name for server in update.servers] == ['i-1']


def test_invalid_change_has_the_revision_at_which_it_was_written(
    store, source
):
    """A server that writes afterwards must not be taken for invalid."""
    store.put_server('i-1', '10.0.0.1', 80)
    revision = source.read_all().revision
    store.put('servers/i-1', b'odd')
    odd_revision = store.qualified_revision
    store.put_server('i-1', '10.0.0.1', 80)
    update = source.read_changes(revision)
    assert update.invalid == [('i-1', odd_revision)]
    assert update.servers[0].revision > odd_revision


@pytest.mark.parametrize('items', [[], [{'key': 7}], [{'key': ''}]])
def test_page_that_does_not_say_where_the_next_begins_raises(items):
    body = {'items': items, 'has_more': True, 'current_rev': 7}
    link = SlowLink(json.dumps(body).encode(), 1, 1)
    with gevent.Timeout(3), pytest.raises(fleet_source.SourceError):
        link.read()


@pytest.mark.parametrize('status', [429, 503, 500])
def test_error_status_raises_and_the_next_call_succeeds(store, source, status):
    store.status = status
    with pytest.raises(fleet_source.SourceError, match=str(status)):
        source.read_all()
    store.status = None
    assert source.read_all().revision == store.qualified_revision


def test_call_to_a_silent_store_times_out(store, source):
    source.read_all()
    store.is_silent = True
    limit = gevent.Timeout(2 * store_source.CALL_TIMEOUT_MS / 1000)
    with limit, pytest.raises(fleet_source.SourceError):
        source.read_all()
    store.is_silent = False
    assert source.read_all().revision == store.qualified_revision


class SlowLink:
    """Sends a response in pieces, and stops after a number of them."""

    def __init__(self, body, pieces, pause_ms, sent_pieces=None):
        head = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(body)
        self.response = head + body
        self.size_bytes = -(-len(self.response) // pieces)
        self.pieces = pieces if sent_pieces is None else sent_pieces
        self.pause_ms = pause_ms
        self.server = gevent.server.StreamServer(('127.0.0.1', 0), self.serve)
        self.server.start()

    def serve(self, sock, _remote):
        sock.recv(4096)
        for number in range(self.pieces):
            start = number * self.size_bytes
            sock.sendall(self.response[start : start + self.size_bytes])
            gevent.sleep(self.pause_ms / 1000)
        gevent.sleep(30)

    def read(self):
        source = store_source.make_store_source(
            address.Address('127.0.0.1', self.server.server_port)
        )
        try:
            return source.read_all()
        finally:
            source.close()
            self.server.stop(timeout=0)


LARGE_BODY = json.dumps(
    {'items': [], 'current_rev': 7, 'ballast': 'x' * 400_000}
).encode()


def test_a_large_response_over_a_slow_link_is_read():
    """A response may take longer than the limit on a pause within it."""
    pause_ms = 100
    pieces = 2 * store_source.CALL_TIMEOUT_MS // pause_ms
    assert SlowLink(LARGE_BODY, pieces, pause_ms).read().revision == 7


def test_a_response_that_stalls_times_out():
    link = SlowLink(LARGE_BODY, 10, 1, sent_pieces=5)
    limit = gevent.Timeout(2 * store_source.CALL_TIMEOUT_MS / 1000)
    with limit, pytest.raises(fleet_source.SourceError):
        link.read()


def test_a_response_that_trickles_forever_times_out(monkeypatch):
    monkeypatch.setattr(store_source, 'MAX_CALL_MS', 1_000)
    link = SlowLink(LARGE_BODY, 400, 50)
    with gevent.Timeout(3), pytest.raises(fleet_source.SourceError):
        link.read()


@pytest.mark.parametrize(
    'response',
    [
        b'',
        b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]',
        b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}',
        b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{"curren',
        b'no protocol at all\r\n\r\n',
    ],
)
def test_malformed_response_raises(response):
    def serve(sock, _remote):
        sock.recv(4096)
        sock.sendall(response)
        sock.close()

    server = gevent.server.StreamServer(('127.0.0.1', 0), serve)
    server.start()
    source = store_source.make_store_source(
        address.Address('127.0.0.1', server.server_port)
    )
    for _ in range(2):
        with pytest.raises(fleet_source.SourceError):
            source.read_all()
    server.stop()
