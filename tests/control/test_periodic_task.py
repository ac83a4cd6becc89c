"""Guards against a background loop that ends at its first exception."""

import gevent

from kingcupport.control import periodic_task


def test_a_loop_that_fails_is_started_again(caplog):
    starts = []

    def loop():
        starts.append(len(starts))
        if len(starts) < 3:
            raise ValueError('broken')
        gevent.sleep(60)

    task = gevent.spawn(periodic_task.run_with_restart, loop)
    gevent.sleep(5 * periodic_task.RESTART_PAUSE_MS / 1000)
    task.kill()
    assert starts == [0, 1, 2]
    assert caplog.text.count('restarting it') == 2


def test_calls_from_the_event_loop_go_on_after_an_error(caplog):
    """Guards against one error that ends all later checks."""
    calls = []

    def step():
        calls.append(gevent.getcurrent())
        if len(calls) == 2:
            raise ValueError('second call')

    task = gevent.spawn(periodic_task.run_in_event_loop, 5, step)
    with gevent.Timeout(5):
        while len(calls) < 4:
            gevent.sleep(0.005)
    assert set(calls) == {gevent.get_hub()}
    assert 'second call' in caplog.text
    task.kill()
    count = len(calls)
    gevent.sleep(0.03)
    assert len(calls) == count
