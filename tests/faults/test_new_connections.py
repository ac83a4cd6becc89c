"""Guards callers that open a connection while something fails.

Each request uses a connection of its own, so that every OPEN meets the fault.
"""

import fault_support
import gevent
from gevent import pool
import geventhttpclient
import pytest

from kingcupport.standins import json_client

REQUESTS_PER_S = 40
DURATION_MS = 5_000
FAULT_AFTER_MS = 1_000
# The caller's side gives a silent connection up after 30 s (GIVE_UP_MS). While
# one of three balancers is paused, each packet is lost with probability 1/3;
# a segment is sent 6 times in 7 s, so that one of about 700 takes longer, and
# 17 times in 30 s.
TIMEOUT_S = 30
# An agent that died is avoided once its closed port was seen; until then a
# caller's OPEN is sent again (docs/design.md, section 5).
RECOVERY_MS = 2_000


class _Callers:
    """Opens connections at a steady rate and keeps the failures."""

    def __init__(self, bed):
        self._clock = bed.clock
        self._address = bed.deployment.service_addresses['ticketing']
        self._tasks = pool.Pool()
        self.failures_ms = []
        self.answered = 0

    def run(self):
        start_ms = self._clock.monotonic_ms()
        for number in range(REQUESTS_PER_S * DURATION_MS // 1000):
            self._clock.sleep_until(start_ms + number * 1000 / REQUESTS_PER_S)
            self._tasks.spawn(self._call, start_ms)
        self._tasks.join()

    def _call(self, start_ms):
        began_ms = self._clock.monotonic_ms() - start_ms
        client = geventhttpclient.HTTPClient(
            self._address.ip,
            self._address.port,
            connection_timeout=TIMEOUT_S,
            network_timeout=TIMEOUT_S,
            headers={'Connection': 'close'},
        )
        try:
            response = client.get('/visits')
            response.read()
            assert response.status_code == 200
            self.answered += 1
        except (OSError, AssertionError, geventhttpclient.HTTPParseError):
            self.failures_ms.append(began_ms)
        finally:
            client.close()


def _kill_balancer(bed):
    bed.group.kill(bed.members('')[0].name)


def _pause_balancer(bed):
    bed.group.pause(bed.members('')[0].name)


def _terminate_agent(bed):
    bed.group.terminate(bed.members('ticketing')[0].name)


def _withdraw_agent(bed):
    name = bed.members('ticketing')[0].name
    bed.deployment.publish({'withdrawn': {'backend_servers': [name]}})


def _add_agent_and_balancer(bed):
    new = [
        bed.deployment.start_backend_server('ticketing'),
        bed.deployment.start_balancer(),
    ]
    bed.deployment.publish({'added': bed.deployment.entries(new)})


def _withdraw_agent_unseen_by_one_balancer(bed):
    balancer = bed.members('')[0]
    bed.group.pause(balancer.name)
    _withdraw_agent(bed)
    fault_support.sleep_ms(1_000)
    bed.group.resume(balancer.name)


def _kill_agent(bed):
    bed.group.kill(bed.members('ticketing')[0].name)


@pytest.mark.parametrize(
    'fault',
    [
        _kill_balancer,
        _pause_balancer,
        _terminate_agent,
        _withdraw_agent,
        _add_agent_and_balancer,
        _withdraw_agent_unseen_by_one_balancer,
    ],
)
def test_every_open_is_served(bed, fault):
    callers = _Callers(bed)
    task = gevent.spawn(callers.run)
    fault_support.sleep_ms(FAULT_AFTER_MS)
    fault(bed)
    task.get()
    assert callers.failures_ms == []


def test_opens_are_served_soon_after_an_agent_died(bed):
    callers = _Callers(bed)
    task = gevent.spawn(callers.run)
    fault_support.sleep_ms(FAULT_AFTER_MS)
    _kill_agent(bed)
    task.get()
    recovered_ms = FAULT_AFTER_MS + RECOVERY_MS
    late = [ms for ms in callers.failures_ms if ms > recovered_ms]
    assert late == []
    assert callers.answered > 0


def test_opens_avoid_a_silent_agent_that_is_listed_as_gone(bed):
    """A vanished instance answers nothing; only the list tells."""
    victim = bed.members('ticketing')[0]
    callers = _Callers(bed)
    task = gevent.spawn(callers.run)
    fault_support.sleep_ms(FAULT_AFTER_MS)
    bed.group.pause(victim.name)
    json_client.call(
        bed.deployment.configuration_address,
        'PUT',
        '/_instances',
        {victim.name: 'gone'},
    )
    task.get()
    recovered_ms = FAULT_AFTER_MS + RECOVERY_MS
    late = [ms for ms in callers.failures_ms if ms > recovered_ms]
    assert late == []
