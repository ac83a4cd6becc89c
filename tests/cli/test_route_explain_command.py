"""Guards against a missing target that is not reported as a problem."""

import cli_support

from kingcupport.wire import control_messages


def _explain(make_reply, *options):
    with cli_support.serve_peer(
        cli_support.make_reply_handler(make_reply)
    ) as address:
        return cli_support.run(
            *('route', 'explain', '192.0.2.10:443', '0x10'),
            *('--balancer', address, *options),
        )


def test_target():
    def make_reply(request):
        assert request.service_address == '192.0.2.10:443'
        assert request.connection_id == 16
        return control_messages.ExplainReply(
            'balancer-1', 8, 'gate', 5, ['gate-1', 'gate-2'], '', 'gate-1'
        )

    result = _explain(make_reply)
    assert result.exit_code == 0
    assert 'gate-1, gate-2' in result.output
    as_json = _explain(make_reply, '--json')
    assert as_json.document['target'] == 'gate-1'


def test_unknown_service():
    result = _explain(
        lambda _: control_messages.ExplainReply('b-1', 8, '', 0, [], '', '')
    )
    assert result.exit_code == 1
    assert 'no service at 192.0.2.10:443 in revision 8' in result.output


def test_balancer_that_does_not_answer():
    result = cli_support.run(
        *('route', 'explain', '192.0.2.10:443', '7'),
        *('--balancer', '127.0.0.1:1'),
    )
    cli_support.assert_error_line(result, 3, '127.0.0.1:1', 'refused')
