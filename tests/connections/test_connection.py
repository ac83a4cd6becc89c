"""Tests one connection for invalid input, lost answers and leaks."""

import random

import gevent
from gevent import event
import hypothesis
from hypothesis import strategies
import manual_clock
import pytest

from kingcupport.connections import connection as connection_module
from kingcupport.connections import connection_identity
from kingcupport.connections import connection_limits
from kingcupport.connections import input_stream
from kingcupport.connections import request_ids
from kingcupport.requests import answer as answer_module
from kingcupport.requests import request_runner
from kingcupport.wire import packet as packet_module

_KIND = packet_module.PacketKind
_GET = b'GET /%d HTTP/1.1\r\nHost: a\r\n\r\n'


class _Runner(request_runner.RequestRunner):
    def __init__(self):
        self.waiting = {}
        self.seen = []

    def submit(self, request):
        self.seen.append(request)
        done = self.waiting.setdefault(request.target, event.Event())
        done.wait()
        return answer_module.Answer(200, (), request.target.encode())

    def finish(self, *targets):
        for target in targets:
            self.waiting[target].set()
            _run_until_blocked()


def _run_until_blocked():
    for _ in range(6):
        gevent.sleep(0)


class _Harness:
    def __init__(self, **limits):
        self.clock = manual_clock.ManualClock()
        self.runner = _Runner()
        self.packets = []
        self.ended = []
        self.limits = connection_limits.ConnectionLimits(**limits)
        self.connection = self.make(None)
        self.connection.start()
        self.sent = 0

    def make(self, state):
        return connection_module.Connection(
            connection_identity.ConnectionIdentity(
                1, 2, '10.0.0.9:1', '10.0.0.1:80', '10.0.0.2:7000'
            ),
            self.packets.append,
            self.runner,
            self.clock,
            self.limits,
            request_ids.make_id_source('test'),
            self.ended.append,
            state,
        )

    def deliver(self, kind, offset=0, payload=b'', ack=0):
        self.connection.deliver(
            packet_module.Packet(
                int(kind), 1, 2, offset, ack, payload, '', '', ''
            )
        )
        _run_until_blocked()

    def data(self, payload):
        self.deliver(_KIND.DATA, self.sent, payload)
        self.sent += len(payload)

    def advance(self, duration_ms):
        self.clock.advance(duration_ms)
        self.connection._wake.set()
        _run_until_blocked()

    def kinds(self):
        return [_KIND(p.kind) for p in self.packets]

    def output(self):
        received = input_stream.InputStream()
        return b''.join(
            received.on_segment(p.offset, p.payload)
            for p in self.packets
            if p.kind == _KIND.DATA
        )


@pytest.fixture
def harness():
    new_harness = _Harness()
    yield new_harness
    new_harness.connection.terminate()
    _run_until_blocked()


def test_answers_keep_the_order_of_pipelined_requests(harness):
    """Guards against an answer that overtakes a slower previous one."""
    harness.data(_GET % 1 + _GET % 2)
    harness.runner.finish('/2')
    assert harness.output() == b''
    harness.runner.finish('/1')
    assert harness.output().index(b'/1') < harness.output().index(b'/2')


def test_whole_requests_before_malformed_bytes_are_answered(harness):
    """Guards against losing requests that precede malformed bytes."""
    harness.data(_GET % 1 + b'no request\r\n\r\n')
    harness.runner.finish('/1')
    assert harness.output().count(b'HTTP/1.1 200') == 1
    assert harness.output().count(b'HTTP/1.1 400') == 1
    assert harness.kinds()[-1] == _KIND.CLOSE


@pytest.mark.parametrize(
    ('data', 'status'),
    [
        (b'\x00\x01\r\n\r\n', b'400'),
        (b'GET / HTTP/1.1\r\n\r\n', b'400'),
        (b'GET / HTTP/1.1\r\nHost: a\r\nX: ' + b'x' * 20_000, b'431'),
        (
            b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2000000\r\n\r\n',
            b'413',
        ),
    ],
)
def test_bad_requests_are_refused_and_the_connection_ends(
    harness, data, status
):
    """Guards against bytes that end a task or exhaust the memory."""
    filler = b'x' * 10_000
    for start in range(0, len(data), 10_000):
        harness.data(data[start : start + 10_000])
    for _ in range(120):
        if harness.output():
            break
        harness.data(filler)
    assert harness.output().startswith(b'HTTP/1.1 ' + status)
    assert harness.kinds()[-1] in (_KIND.CLOSE, _KIND.ACK)
    assert _KIND.CLOSE in harness.kinds()


def test_pipeline_limit_holds_within_one_segment(harness):
    """Guards against a segment that starts hundreds of requests."""
    harness.data(b''.join(_GET % i for i in range(40)))
    limit = harness.limits.max_pipelined_count
    assert len(harness.runner.seen) == limit
    for i in range(40):
        harness.runner.finish(f'/{i}')
    assert len(harness.runner.seen) == 40
    assert harness.output().count(b'HTTP/1.1 200') == 40


def test_close_with_requests_pending_waits_for_the_answers(harness):
    """Guards against losing answers if a caller ends its stream early."""
    harness.data(b''.join(_GET % i for i in range(20)))
    harness.deliver(_KIND.CLOSE, harness.sent)
    assert _KIND.CLOSE not in harness.kinds()
    for i in range(20):
        harness.runner.finish(f'/{i}')
    assert harness.output().count(b'HTTP/1.1 200') == 20
    assert harness.kinds()[-1] == _KIND.CLOSE
    harness.deliver(_KIND.ACK, ack=len(harness.output()) + 1)
    assert harness.ended


def test_close_within_a_request_ends_the_output_once(harness):
    """Guards against a refusal after the end of the output."""
    harness.data(b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nab')
    harness.deliver(_KIND.CLOSE, harness.sent)
    harness.advance(29_000)
    harness.advance(2_000)
    assert harness.output() == b''


def test_reset_cancels_idempotent_requests_and_ends(harness):
    """Guards against running requests of callers that are gone."""
    harness.data(_GET % 1)
    task = harness.connection._pending[0].task
    harness.deliver(_KIND.RESET)
    assert harness.ended
    assert task.dead


def test_slow_request_is_refused(harness):
    """Guards against callers that occupy a connection with few bytes."""
    harness.data(b'GET / HT')
    harness.advance(harness.limits.request_timeout_ms - 1)
    assert harness.output() == b''
    harness.advance(1)
    assert harness.output().startswith(b'HTTP/1.1 408')
    assert _KIND.CLOSE in harness.kinds()


def test_half_open_connection_repeats_opened_and_ends_silently(harness):
    """Guards against lost confirmations and against half-open leaks."""
    seconds = harness.limits.half_open_timeout_ms // 1_000
    for _ in range(seconds - 1):
        harness.advance(1_000)
    assert harness.kinds() == [_KIND.OPENED] * seconds
    harness.advance(1_000)
    assert harness.ended
    assert _KIND.RESET not in harness.kinds()


def test_confirmed_connection_outlives_the_half_open_timeout(harness):
    """Guards against resets of idle connections."""
    harness.deliver(_KIND.ACK)
    harness.advance(harness.limits.half_open_timeout_ms)
    assert not harness.ended
    harness.advance(harness.limits.idle_timeout_ms)
    assert harness.kinds()[-1] == _KIND.RESET


def test_client_that_expects_100_continue_gets_it_in_order(harness):
    """Guards against curl waiting a second before each larger body."""
    head = b'POST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n'
    harness.data(_GET % 1 + head + b'Expect: 100-continue\r\n\r\n')
    assert harness.output() == b''
    harness.runner.finish('/1')
    assert harness.output().endswith(b'HTTP/1.1 100 \r\n\r\n')
    harness.data(b'ab')
    harness.runner.finish('/2')
    assert harness.output().count(b'HTTP/1.1 100') == 1
    assert harness.output().endswith(b'/2')


@pytest.mark.parametrize('is_first_answered', [True, False])
def test_refusal_is_sent_once_after_a_handoff(harness, is_first_answered):
    """Guards against a refusal that a handoff loses or duplicates."""
    harness.data(_GET % 1 + b'no request\r\n\r\n')
    if is_first_answered:
        harness.runner.finish('/1')
    state = harness.connection.freeze()
    harness.packets.clear()
    second = harness.make(state)
    second.start(harness.runner)
    _run_until_blocked()
    harness.runner.finish('/1')
    second.terminate()
    assert harness.output().count(b'HTTP/1.1 400') == 1


def test_unread_requests_run_once_after_a_handoff(harness):
    """Guards against losing or repeating requests after a full pipeline."""
    harness.data(b''.join(_GET % i for i in range(20)))
    state = harness.connection.freeze()
    assert state.unparsed.count(b'GET') == 4
    harness.packets.clear()
    second = harness.make(state)
    second.start(harness.runner)
    _run_until_blocked()
    for i in range(20):
        harness.runner.finish(f'/{i}')
    second.terminate()
    assert harness.output().count(b'HTTP/1.1 200') == 20
    assert sum(r.target == '/17' for r in harness.runner.seen) == 1


_numbers = strategies.one_of(
    strategies.integers(0, 3000),
    strategies.integers(0, 300_000),
    strategies.integers(0, (1 << 64) - 1),
)
_packets = strategies.tuples(
    strategies.sampled_from(list(_KIND)),
    _numbers,
    strategies.one_of(
        strategies.binary(max_size=200),
        strategies.sampled_from((_GET % 1, (_GET % 1)[5:], b'x' * 16_384)),
    ),
    _numbers,
)


@hypothesis.settings(derandomize=True, max_examples=150, deadline=None)
@hypothesis.given(strategies.lists(_packets, max_size=40))
def test_any_packets_leave_memory_bounded_and_the_task_alive(packets):
    """Guards against packets that raise or exhaust the memory."""
    harness = _Harness()
    for kind, offset, payload, ack in packets:
        harness.deliver(kind, offset, payload, ack)
    assert harness.connection._task.exception is None
    assert harness.connection._task.dead == bool(harness.ended)
    connection = harness.connection
    window = input_stream.RECEIVE_WINDOW_BYTES
    assert (
        len(connection._input._segments)
        <= input_stream.MAX_OUT_OF_ORDER_SEGMENTS
    )
    assert connection._input._buffered_bytes <= window
    assert len(connection._pending) <= harness.limits.max_pipelined_count
    connection.terminate()
    _run_until_blocked()


def test_overlapping_segments_do_not_fill_the_memory():
    """Guards against overlapping segments that exhaust the memory."""
    stream = input_stream.InputStream()
    rng = random.Random(1)
    for _ in range(5_000):
        stream.on_segment(rng.randrange(1, 240_000), b'x' * 16_384)
    buffered_bytes = sum(map(len, stream._segments.values()))
    assert (
        buffered_bytes
        == stream._buffered_bytes
        <= input_stream.RECEIVE_WINDOW_BYTES
    )
