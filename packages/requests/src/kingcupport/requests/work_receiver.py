"""Runs requests transferred by peers and keeps their answers."""

import collections

import attrs
from gevent import event

from kingcupport.requests import _waiting
from kingcupport.requests import answer
from kingcupport.requests import request as request_module
from kingcupport.wire import errors
from kingcupport.wire import work_messages

# Calls are answered well before the caller's timeout. A timeout therefore
# means that the peer is paused, dead or unreachable and not merely slow.
MAX_REPLY_WAIT_MS = 100
MAX_RECORDS_PER_SENDER = 512
MAX_KEPT_ANSWER_BYTES = 32 * 1024 * 1024
MAX_SENDERS = 1024


@attrs.define(eq=False)
class _Record:
    state: str
    finished: event.Event = attrs.field(factory=event.Event)
    result: answer.Answer | None = None
    task: object = None

    @property
    def size_bytes(self):
        return len(self.result.body) if self.result else 0


@attrs.define
class _Sender:
    incarnation: int
    records: collections.OrderedDict = attrs.field(
        factory=collections.OrderedDict
    )
    # Records up to this sequence number were evicted; their transfers are
    # never run again.
    evicted_sequence: int = 0


class WorkReceiver:
    """Runs each transferred request at most once.

    A record is kept of every transfer, including refused and cancelled
    ones, so that duplicate and late deliveries are detected. The number of
    records is limited. A transfer without a record whose sequence number is
    not above that of the last evicted record is reported as ``lost``.

    Args:
        link: PeerLink.
        clock: Clock of the deadlines.
        start: ``RequestScheduler.start_transferred``.
        on_refused: Called with the name of a peer whose request was refused
            because no slot is free.
    """

    def __init__(self, link, clock, start, on_refused):
        self._link = link
        self._clock = clock
        self._start = start
        self._on_refused = on_refused
        self._senders = collections.OrderedDict()
        self._kept_answer_bytes = 0

    def handle_transfer(self, message, peer):
        """Run a request or await its earlier run; handles WorkTransfer."""
        if message.service != self._link.read_view().service:
            return self._reply('refused')
        if message.receiver_incarnation != self._link.incarnation:
            return self._reply('lost')
        sender = self._find_sender(message)
        if sender is None:
            return self._reply('lost')
        record = sender.records.get(message.sequence)
        if record is None:
            if message.sequence <= sender.evicted_sequence:
                return self._reply('lost')
            record = self._start_run(sender, message, peer)
        return self._wait_and_reply(record)

    def handle_poll(self, message, peer):
        """Return the state of a transfer; handles WorkPoll."""
        if message.receiver_incarnation != self._link.incarnation:
            return self._reply('lost')
        sender = self._find_sender(message)
        if sender is None:
            return self._reply('lost')
        record = sender.records.get(message.sequence)
        if record is None:
            if message.sequence <= sender.evicted_sequence:
                return self._reply('lost')
            record = self._add_record(sender, message.sequence, 'refused')
        if message.cancel and record.state == 'running':
            record.task.kill(block=False)
        if message.cancel:
            return self._reply(record.state, record.result)
        return self._wait_and_reply(record)

    def _find_sender(self, message):
        known = self._senders.get(message.sender)
        if known is not None and message.incarnation < known.incarnation:
            return None
        if known is None or message.incarnation > known.incarnation:
            self._evict_sender(message.sender)
            known = _Sender(message.incarnation)
            self._senders[message.sender] = known
        self._senders.move_to_end(message.sender)
        if len(self._senders) > MAX_SENDERS:
            self._evict_sender(next(iter(self._senders)))
        return known

    def _evict_sender(self, name):
        evicted = self._senders.pop(name, None)
        if evicted is not None:
            self._kept_answer_bytes -= sum(
                record.size_bytes for record in evicted.records.values()
            )

    def _start_run(self, sender, message, peer):
        request = self._make_request(message, peer)
        record = self._add_record(sender, message.sequence, 'running')

        def on_end(job):
            if job.result.ready():
                record.result = job.result.value
                record.state = 'done'
                if self._senders.get(message.sender) is sender:
                    self._kept_answer_bytes += record.size_bytes
            else:
                record.state = 'lost' if job.started else 'refused'
            record.finished.set()
            self._evict_records(sender)

        record.task = self._start(request, on_end)
        if record.task is None:
            record.state = 'refused'
            self._on_refused(message.sender)
        return record

    def _make_request(self, message, peer):
        try:
            headers = tuple((bytes(n), bytes(v)) for n, v in message.headers)
        except (TypeError, ValueError):
            raise errors.WireError(
                'WorkTransfer.headers is not a list of byte pairs',
                step='handle_transfer',
                peer=peer,
            ) from None
        return request_module.Request(
            message.request_id,
            message.method,
            message.target,
            headers,
            message.body,
            message.idempotency_key,
            self._clock.monotonic_ms() + message.remaining_ms,
        )

    def _add_record(self, sender, sequence, state):
        record = _Record(state)
        sender.records[sequence] = record
        self._evict_records(sender)
        return record

    def _evict_records(self, sender):
        for sequence, record in list(sender.records.items()):
            too_many = len(sender.records) > MAX_RECORDS_PER_SENDER
            if (
                not too_many
                and self._kept_answer_bytes <= MAX_KEPT_ANSWER_BYTES
            ):
                return
            if record.state == 'running':
                continue
            del sender.records[sequence]
            self._kept_answer_bytes -= record.size_bytes
            sender.evicted_sequence = max(sender.evicted_sequence, sequence)

    def _wait_and_reply(self, record):
        if record.state == 'running':
            deadline_ms = self._clock.monotonic_ms() + MAX_REPLY_WAIT_MS
            _waiting.wait_until(self._clock, record.finished, deadline_ms)
        return self._reply(record.state, record.result)

    def _reply(self, state, result=None):
        if state != 'done':
            result = answer.Answer(0, (), b'', '')
        return self._link.make(
            work_messages.WorkReply,
            state=state,
            status=result.status,
            headers=[list(pair) for pair in result.headers],
            body=result.body,
            outcome=str(result.outcome),
        )
