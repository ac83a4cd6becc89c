"""Tests that the environment switches features on."""

import logging

import pytest

from kingcupport.platform import agent_program
from kingcupport.platform import balancer_program
from kingcupport.platform import boot_settings
from kingcupport.platform import feature_switches

SETTINGS = """\
node=side-dakar-plateau-1
zone=dakar-plateau
listen.datagram_address=127.0.0.1:8172
listen.outbound=127.0.0.1:8162
listen.ready_address=127.0.0.1:8167
internal_ports=7720
app=127.0.0.1:8165
service=huvo11a
platform.address=127.0.0.1:8169
"""


@pytest.mark.parametrize(
    ('text', 'features'),
    [
        ('', set()),
        (' , ', set()),
        ('server_pace', {'server_pace'}),
        (
            ' shared_admission,server_pace ,',
            {'server_pace', 'shared_admission'},
        ),
        ('server_pace,later_feature', {'server_pace'}),
        ('Server_Pace', set()),
    ],
)
def test_known_names_are_read(text, features):
    assert feature_switches.parse_features(text) == features


def test_unknown_names_are_logged(caplog):
    """An operator must see a mistyped name."""
    with caplog.at_level(logging.WARNING):
        feature_switches.parse_features('zeta,server_pace,alpha')
    (record,) = caplog.records
    assert record.names == 'alpha,zeta'


@pytest.mark.parametrize(
    ('module', 'make'),
    [
        (agent_program.flow_agent, agent_program.make_agent),
        (balancer_program.flow_balancer, balancer_program.make_balancer),
    ],
)
@pytest.mark.parametrize('value', [None, 'server_pace'])
def test_both_programs_pass_the_features_on(monkeypatch, module, make, value):
    """Without the variable, a program must behave as before."""
    monkeypatch.delenv(feature_switches.FEATURES_VARIABLE, raising=False)
    if value:
        monkeypatch.setenv(feature_switches.FEATURES_VARIABLE, value)
    for name in ('FlowAgent', 'FlowBalancer'):
        monkeypatch.setattr(
            module, name, lambda settings, *_: settings, raising=False
        )
    settings = boot_settings.parse_boot_settings(SETTINGS)
    expected = {value} if value else frozenset()
    assert make(settings).features == expected
