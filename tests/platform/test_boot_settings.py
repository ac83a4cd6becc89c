"""Tests the parser of the platform's settings file."""

from hypothesis import given
from hypothesis import strategies
import pytest

from kingcupport.platform import boot_settings

AGENT_SETTINGS = """\
node=side-dakar-plateau-1
class=side
zone=dakar-plateau
listen.datagram_address=10.1.0.12:8172
listen.outbound=10.1.0.12:8162
listen.ready_address=10.1.0.12:8167
internal_ports=7720,7735
seeds=10.1.0.10:8166,nonsense,10.3.0.7:8166
bootstrap=true
bounds.max_flow_s=60
app=10.1.0.12:8165
service=huvo11a
platform.address=10.200.1.7:8169
a.new.key=an unknown value
"""


def test_settings_of_an_agent():
    settings = boot_settings.parse_boot_settings(AGENT_SETTINGS)
    assert settings.name == 'side-dakar-plateau-1'
    assert settings.data_centre == 'dakar-plateau'
    assert str(settings.packet_address) == '10.1.0.12:8172'
    assert str(settings.outbound_address) == '10.1.0.12:8162'
    assert str(settings.server_address) == '10.1.0.12:8165'
    assert settings.service == 'huvo11a'
    assert settings.peer_port == 7720
    assert settings.seed_ips == ('10.1.0.10', '10.3.0.7')
    assert settings.is_first_start
    assert settings.max_flow_ms == 60_000
    assert settings.evacuation_ms == 0


def test_bounds_of_cold_servers_have_defaults():
    settings = boot_settings.parse_boot_settings(AGENT_SETTINGS)
    assert (settings.cold_excess, settings.cold_slack) == (1.5, 5.0)
    settings = boot_settings.parse_boot_settings(
        AGENT_SETTINGS + 'bounds.cold_excess=1.25\nbounds.cold_slack=0\n'
    )
    assert (settings.cold_excess, settings.cold_slack) == (1.25, 0.0)


def test_bound_of_evacuations_is_optional():
    text = AGENT_SETTINGS + 'bounds.evacuation_ms=5000\n'
    assert boot_settings.parse_boot_settings(text).evacuation_ms == 5_000


@pytest.mark.parametrize(
    ('old', 'new', 'key'),
    [
        ('node=side-dakar-plateau-1', '', 'node'),
        ('8172', 'port', 'listen.datagram_address'),
        ('7720,7735', '', 'internal_ports'),
        ('7720,7735', '0,1', 'internal_ports'),
        ('max_flow_s=60', 'max_flow_s=soon', 'max_flow_s'),
        ('max_flow_s=60', 'max_flow_s=nan', 'max_flow_s'),
        ('max_flow_s=60', 'evacuation_ms=x', 'evacuation_ms'),
        ('max_flow_s=60', 'cold_slack=-1', 'cold_slack'),
        ('max_flow_s=60', 'cold_excess=0', 'cold_excess'),
    ],
)
def test_error_names_the_invalid_key(old, new, key):
    with pytest.raises(boot_settings.BootSettingsError, match=key):
        boot_settings.parse_boot_settings(AGENT_SETTINGS.replace(old, new))


@given(strategies.text(max_size=300))
def test_any_text_is_parsed_or_rejected(text):
    try:
        boot_settings.parse_boot_settings(AGENT_SETTINGS + text)
        boot_settings.parse_boot_settings(text)
    except boot_settings.BootSettingsError as error:
        assert error.step == 'parse_settings'


def test_missing_file_raises(tmp_path):
    with pytest.raises(boot_settings.BootSettingsError, match='No such file'):
        boot_settings.load_boot_settings(str(tmp_path / 'none'))
