"""Tests how long an agent waits for its server's reaction to a probe."""

import flow_support
import pytest

from kingcupport.flows import server_probes

SENDER = ('10.0.0.2', 8172)


def make_packet(number):
    data = flow_support.FORMAT.make(flow_support.make_flow(number), data=b'x')
    return flow_support.FORMAT.read_from_client(data), data


@pytest.fixture
def clock():
    return flow_support.make_clock()


@pytest.fixture
def probes(clock):
    return server_probes.make_server_probes(clock)


def test_a_probe_is_taken_once(probes):
    packet, data = make_packet(1)
    probes.add(packet, data, SENDER)
    probe = probes.take(packet.flow)
    assert (probe.packet, probe.data, probe.sender) == (packet, data, SENDER)
    assert probes.take(packet.flow) is None


@pytest.mark.parametrize('drops', [False, True])
def test_an_old_probe_is_not_taken(probes, clock, drops):
    packet, data = make_packet(1)
    probes.add(packet, data, SENDER)
    clock.advance(server_probes.PROBE_TIMEOUT_MS)
    if drops:
        probes.drop_expired()
    assert probes.take(packet.flow) is None


def test_probes_are_bounded(probes):
    for number in range(server_probes.MAX_PROBES + 1):
        probes.add(*make_packet(number), SENDER)
    assert probes.take(flow_support.make_flow(0)) is None
    assert probes.take(flow_support.make_flow(1)) is not None
