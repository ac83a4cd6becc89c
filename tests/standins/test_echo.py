"""Guards against callers that accept the answer to another request."""

import pytest

from kingcupport.standins import echo

_ECHO = echo.Echo(
    'audio', 'audio-1', 'r7', '/a', echo.compute_digest(b'x'), 100
)


def test_complete_answer_is_parsed():
    assert echo.read_body(echo.make_body(_ECHO)) == _ECHO


@pytest.mark.parametrize(
    'body',
    [
        echo.make_body(_ECHO)[:-1],
        echo.make_body(_ECHO) + b'r',
        echo.make_body(_ECHO).replace(b'audio-1;', b'audio-2;', 1),
        b'',
        b'[]\n',
        b'{"service":"audio"}\n',
    ],
)
def test_damaged_answer_is_refused(body):
    with pytest.raises(echo.EchoError):
        echo.read_body(body)


@pytest.mark.parametrize(
    'changed',
    [
        {'service': 'ticketing'},
        {'request_id': 'r8'},
        {'target': '/b'},
        {'body': b'y'},
    ],
)
def test_answer_to_another_request_is_refused(changed):
    expected = {
        'service': 'audio',
        'request_id': 'r7',
        'target': '/a',
        'body': b'x',
    }
    echo.check_echo(_ECHO, **expected)
    with pytest.raises(echo.EchoError):
        echo.check_echo(_ECHO, **(expected | changed))
