"""Guards against settings errors that are not reported at startup."""

import attrs
import pytest

from kingcupport.common import address
from kingcupport.common import settings


@attrs.frozen
class _Limits:
    drain_timeout_ms: int = settings.setting(5000, minimum=0)


@attrs.frozen
class _Settings:
    listen: address.Address
    limits: _Limits = _Limits()
    seeds: tuple[address.Address, ...] = ()


def _load(tmp_path, text):
    path = tmp_path / 'agent.toml'
    path.write_text(text)
    return settings.load_settings(path, _Settings)


def test_valid_file(tmp_path):
    loaded = _load(
        tmp_path,
        'listen = "127.0.0.1:1"\nseeds = ["127.0.0.1:2"]\n'
        '[limits]\ndrain_timeout_ms = 7\n',
    )
    assert loaded.limits.drain_timeout_ms == 7
    assert loaded.seeds == (address.Address('127.0.0.1', 2),)


@pytest.mark.parametrize(
    ('text', 'key', 'reason', 'allowed'),
    [
        ('liste = "a"', 'liste', 'unknown key', 'listen'),
        ('listen = "host:1"', 'listen', 'IP address', 'ip:port'),
        ('', 'listen', 'missing', 'ip:port'),
        (
            'listen = "127.0.0.1:1"\n[limits]\ndrain_timeout = 7',
            'limits.drain_timeout',
            'no unit',
            'drain_timeout_ms',
        ),
        (
            'listen = "127.0.0.1:1"\n[limits]\ndrain_timeout_ms = "7"',
            'limits.drain_timeout_ms',
            'wrong type',
            'whole number',
        ),
        (
            'listen = "127.0.0.1:1"\n[limits]\ndrain_timeout_ms = -1',
            'limits.drain_timeout_ms',
            'out of range',
            'at least 0',
        ),
        ('listen = ', '', 'not TOML', 'TOML'),
    ],
)
def test_one_line_names_file_key_reason_and_allowed(
    tmp_path, text, key, reason, allowed
):
    with pytest.raises(settings.SettingsError) as caught:
        _load(tmp_path, text)
    line = str(caught.value)
    assert '\n' not in line
    assert 'agent.toml' in line
    assert key in line
    assert reason in line
    assert allowed in line
