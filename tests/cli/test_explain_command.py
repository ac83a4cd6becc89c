"""Guards against missing or unordered events in an explanation."""

import cli_support

_TIME = '2026-12-04T11:12:58.{:03}+00:00'
_BALANCER = (
    f'time={_TIME.format(1)} level=INFO logger=kingcupport.decisions '
    'event="flow placed" flow=100.64.0.1:9 server=s-1 view_age_ms=7\n'
    'Traceback (most recent call last):\n'
)
_AGENT = (
    f'time={_TIME.format(5)} level=INFO logger=kingcupport.decisions '
    'event="request delivered" request=r1 flow=100.64.0.1:9 running=1\n'
    f'time={_TIME.format(9)} level=INFO logger=kingcupport.decisions '
    'event="server silent" reason="port is closed"\n'
)


def _explain(tmp_path, *arguments):
    paths = [tmp_path / 'agent-1.log', tmp_path / 'balancer-1.log']
    paths[0].write_bytes(b'\xff\xfe broken\n' + _AGENT.encode())
    paths[1].write_text(_BALANCER)
    return cli_support.run('explain', *arguments, *paths)


def test_events_of_a_request_are_in_order(tmp_path):
    result = _explain(tmp_path, 'r1')
    assert result.exit_code == 0
    placed = result.output.index('flow placed')
    delivered = result.output.index('request delivered')
    silent = result.output.index('server silent')
    assert placed < delivered < silent
    assert 'balancer-1' in result.output
    assert 'view_age_ms=7' in result.output
    assert 'level=' not in result.output


def test_json_output(tmp_path):
    document = _explain(tmp_path, '--json', '100.64.0.1:9').document
    assert [line['event'] for line in document['request']] == [
        'flow placed',
        'request delivered',
    ]
    assert document['beliefs'][0]['fields'] == {'reason': 'port is closed'}


def test_unknown_request(tmp_path):
    result = _explain(tmp_path, 'r9')
    assert result.exit_code == 1
    assert result.output == 'no line mentions r9\n'


def test_unreadable_log(tmp_path):
    result = cli_support.run('explain', 'r1', tmp_path / 'absent.log')
    cli_support.assert_error_line(result, 2, 'absent.log', 'No such file')
