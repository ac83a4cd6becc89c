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
