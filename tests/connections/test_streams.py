"""Tests that streams over a lossy path deliver all bytes in order."""

import random

import hypothesis
from hypothesis import strategies
import manual_clock

from kingcupport.connections import input_stream
from kingcupport.connections import output_stream

_MAX_ROUNDS = 2000


class _LossyPath:
    """Carries segments and acks with drops, duplicates and reordering."""

    def __init__(self, rng, clock, data):
        self.rng = rng
        self.clock = clock
        self.segments = []
        self.receiver = input_stream.InputStream()
        self.received = bytearray()
        self.sender = output_stream.OutputStream(self._carry, clock)
        self.sender.write(data)
        self.sender.close()

    def _carry(self, *segment):
        copies = self.rng.choice((0, 1, 1, 1, 2))
        self.segments += [segment] * copies

    def round(self):
        self.rng.shuffle(self.segments)
        arrived, self.segments = self.segments, []
        for offset, payload, is_end in arrived:
            if is_end:
                self.receiver.on_end(offset)
            else:
                self.received += self.receiver.on_segment(offset, payload)
            if self.rng.random() < 0.7:
                self.sender.on_ack(self.receiver.next_offset)
        self.clock.advance(output_stream.FIRST_RETRANSMISSION_MS)
        assert self.sender.retransmit_if_due()


@hypothesis.settings(derandomize=True, max_examples=60, deadline=None)
@hypothesis.given(
    strategies.integers(0, 1 << 32),
    strategies.integers(0, 200_000),
)
def test_all_bytes_arrive_once_and_in_order(seed, size):
    rng = random.Random(seed)
    data = rng.randbytes(size)
    path = _LossyPath(rng, manual_clock.ManualClock(), data)
    for _ in range(_MAX_ROUNDS):
        if path.sender.finished:
            break
        path.round()
    assert path.sender.finished
    assert path.receiver.ended
    assert bytes(path.received) == data


def test_continued_stream_resends_what_is_unacknowledged():
    """Guards against losing output in a handoff."""
    clock = manual_clock.ManualClock()
    first = output_stream.OutputStream(lambda *segment: None, clock)
    first.write(b'abcdef')
    first.on_ack(2)
    sent = []
    second = output_stream.OutputStream(
        lambda *segment: sent.append(segment), clock, first.state()
    )
    second.write(b'gh')
    assert sent == [(2, b'cdefgh', False)]


def test_sender_gives_up_after_its_deadline():
    clock = manual_clock.ManualClock()
    stream = output_stream.OutputStream(lambda *segment: None, clock)
    stream.write(b'a')
    clock.advance(output_stream.ACK_TIMEOUT_MS + 1)
    assert not stream.retransmit_if_due()


def test_ack_beyond_the_stream_is_ignored():
    stream = output_stream.OutputStream(
        lambda *segment: None, manual_clock.ManualClock()
    )
    stream.write(b'abc')
    stream.on_ack(50)
    assert stream.buffered_bytes == 3


def test_segments_beyond_the_window_are_not_kept():
    """Guards against a sender that can exhaust the memory."""
    stream = input_stream.InputStream()
    beyond = input_stream.RECEIVE_WINDOW_BYTES
    assert stream.on_segment(beyond, b'x') == b''
    assert not stream._segments


def test_requests_that_repeat_an_ack_cause_no_retransmission():
    """Pipelined requests carry the same ack several times."""
    sent = []
    stream = output_stream.OutputStream(
        lambda *segment: sent.append(segment), manual_clock.ManualClock()
    )
    stream.write(b'abc')
    for _ in range(output_stream.DUPLICATE_ACKS_FOR_RETRANSMISSION):
        stream.on_ack(0, is_ack_only=False)
    assert len(sent) == 1
    for _ in range(output_stream.DUPLICATE_ACKS_FOR_RETRANSMISSION):
        stream.on_ack(0)
    assert len(sent) == 2
