"""Tests that a process reports ready only while it accepts work."""

from kingcupport.observability import health as health_module


def test_start():
    health = health_module.Health()
    assert health.live
    assert not health.ready
    health.set_not_ready('asks peers')
    assert health.state == 'starting'
    assert health.reason == 'asks peers'


def test_ready_and_not_ready():
    health = health_module.Health()
    health.set_ready()
    assert health.ready
    health.set_not_ready('backend server is down')
    assert not health.ready
    assert health.state == 'not_ready'


def test_draining_is_final():
    health = health_module.Health()
    health.set_ready()
    health.start_draining()
    health.set_ready()
    assert health.draining
    assert not health.ready
    assert health.live


def test_failed_process_is_neither_live_nor_ready():
    health = health_module.Health()
    health.set_ready()
    health.fail('socket closed')
    assert not health.live
    assert not health.ready
