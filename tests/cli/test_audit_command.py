"""Guards against audit events that are not printed or crash the command."""

import cli_support

from kingcupport.wire import control_messages


def _audit(events, *options):
    def make_reply(request):
        kept = [
            e
            for e in events
            if not isinstance(e, dict)
            or e.get('sequence', 99) > request.after_sequence
        ]
        return control_messages.AuditReply('gate-1', 8, kept)

    with cli_support.serve_peer(
        cli_support.make_reply_handler(make_reply)
    ) as address:
        return cli_support.run('audit', '--address', address, *options)


_EVENTS = [
    {'sequence': 1, 'utc_ms': 1_796_000_000_000, 'kind': 'drain', 'open': 3},
    {'sequence': 2, 'utc_ms': 1_796_000_000_500, 'kind': 'note_accepted'},
]


def test_events_are_printed_with_their_fields():
    result = _audit(_EVENTS)
    assert result.exit_code == 0
    assert '2026-11-30T00:53:20.000+00:00 drain' in result.output
    assert 'open=3' in result.output
    as_json = _audit(_EVENTS, '--after', '1', '--json')
    assert as_json.document == {'process': 'gate-1', 'events': _EVENTS[1:]}


def test_no_events():
    result = _audit([])
    assert result.exit_code == 0
    assert 'no events' in result.output


def test_malformed_events_do_not_end_the_command():
    malformed_events = [
        {'utc_ms': 10**18, 'kind': '</><info>\x1b[2J', b'key': b'\xff'},
        {'utc_ms': None, 'note': 'ends with \\'},
        7,
    ]
    assert '\x1b' not in _audit(malformed_events).output
    assert '</><info>' in _audit(malformed_events).output
    assert len(_audit(malformed_events, '--json').document['events']) == 2


def test_process_that_does_not_answer():
    result = cli_support.run('audit', '--address', '127.0.0.1:1')
    cli_support.assert_error_line(result, 3, '127.0.0.1:1', 'refused')
