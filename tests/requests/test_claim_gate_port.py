"""Tests that claimed requests do not start on a stale view after a pause."""

import pytest

from kingcupport.requests import backend_port
from kingcupport.requests import claim_gate_port
from kingcupport.requests import request as request_module


class _Port(backend_port.BackendPort):
    def __init__(self):
        self.ran = []

    def run(self, request):
        self.ran.append(request.request_id)
        return 'answer'


def _make_request(key):
    return request_module.Request('r', 'POST', '/', (), b'', key, 1e9)


def test_claimed_requests_are_refused_until_the_view_is_confirmed():
    port = _Port()
    gate = claim_gate_port.ClaimGatePort(port)
    gate.may_run = lambda: False
    with pytest.raises(backend_port.NotRunError):
        gate.run(_make_request('key'))
    assert port.ran == []
    gate.may_run = lambda: True
    assert gate.run(_make_request('key')) == 'answer'


def test_unclaimed_requests_still_run():
    port = _Port()
    gate = claim_gate_port.ClaimGatePort(port)
    gate.may_run = lambda: False
    assert gate.run(_make_request('')) == 'answer'
