"""End-to-end tests with a store that is restored from an older copy."""

import gevent
import platform_standin
import pytest

# Limit set by the platform until a change is in force.
MAX_CHANGE_DELAY_MS = 3_000
OUTAGE_MS = 500


@pytest.fixture
def restored(harness):
    """A harness whose balancers have read past the store's revision."""
    store = harness.store
    copy = store.take_copy()
    store.put_configuration(version=2)
    harness.put_server(1, state='draining')
    harness.put_server(1)
    store.put_configuration(version=3)
    gevent.sleep(MAX_CHANGE_DELAY_MS / 1000)
    store.status = 503
    lost = store.restore(copy)
    gevent.sleep(OUTAGE_MS / 1000)
    store.status = None
    store.write_again(lost)
    gevent.sleep(MAX_CHANGE_DELAY_MS / 1000)
    return harness


def test_configuration_confirmed_after_a_restore_is_in_force(restored):
    restored.store.put_configuration(version=4, service='audio')
    # With this, the store has as many revisions as before the restore.
    restored.put_server(2, slots=2)
    gevent.sleep(MAX_CHANGE_DELAY_MS / 1000)
    for balancer in (1, 2):
        answer = restored.client(balancer).open()
        assert answer[0] & platform_standin.RST


def test_server_that_drains_after_a_restore_gets_no_new_flows(restored):
    restored.put_server(1, state='draining')
    gevent.sleep(MAX_CHANGE_DELAY_MS / 1000)
    server = restored.servers[restored.server_ip(1)]
    before = len(server.flows)
    assert all(restored.serve(1 + n % 2) is not None for n in range(10))
    assert len(server.flows) == before
