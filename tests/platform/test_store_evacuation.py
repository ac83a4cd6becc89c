"""Tests how evacuations are read from the platform's store."""

import platform_standin
import pytest

from kingcupport.common import address
from kingcupport.platform import store_source

KEY = 'op/evacuate/dakar'


@pytest.fixture
def store():
    store = platform_standin.Store()
    yield store
    store.stop()


@pytest.fixture
def source(store):
    source = store_source.make_store_source(
        address.Address(*store.address), frozenset({'dakar', 'thies'})
    )
    yield source
    source.close()


def test_full_read_lists_the_evacuations(store, source):
    store.put(KEY, {})
    update = source.read_all()
    assert update.evacuations == [('dakar', True, store.qualified_revision)]


def test_watch_reports_the_start_and_the_end(store, source):
    revision = source.read_all().revision
    store.put(KEY, {})
    started = store.qualified_revision
    store.remove(KEY)
    update = source.read_changes(revision)
    ended = store.qualified_revision
    assert update.evacuations == [
        ('dakar', True, started),
        ('dakar', False, ended),
    ]


@pytest.mark.parametrize('value', [b'', b'\xff', b'[' * 9_000, b'{"a": 1}'])
def test_only_the_key_counts(store, source, value):
    store.put(KEY, value)
    assert len(source.read_all().evacuations) == 1


@pytest.mark.parametrize(
    'name', ['', 'Dakar', 'dakar/', '/dakar', 'dakar/1', '\ud800', 'x' * 9_000]
)
def test_unknown_data_centre_is_rejected(store, source, name):
    store.put(f'op/evacuate/{name}', {})
    update = source.read_all()
    assert not update.evacuations
    assert [rejected for rejected, _ in update.rejected_evacuations] == [name]


@pytest.mark.parametrize(
    'changes',
    [
        {'revision': None},
        {'revision': -1},
        {'revision': 2**60},
        {'revision': '7'},
        {'removed': 1},
        {'removed': 'false'},
    ],
)
def test_malformed_item_is_rejected(store, source, changes):
    store.put(KEY, {})
    store.items[KEY].update(changes)
    update = source.read_all()
    assert not update.evacuations
    assert [name for name, _ in update.rejected_evacuations] == ['dakar']


@pytest.mark.parametrize('key', ['op/evacuate', 'op/evacuated/dakar', 'op/x'])
def test_other_keys_of_the_operator_are_ignored(store, source, key):
    store.put(key, {})
    update = source.read_all()
    assert not update.evacuations
    assert not update.rejected_evacuations
