"""Runs requests that peers hand over and remembers their answers."""

import collections

import attrs
from gevent import event

from kingcupport.requests import _waiting
from kingcupport.requests import answer
from kingcupport.requests import request as request_module
from kingcupport.wire import errors
from kingcupport.wire import work_messages

# A call ends well before the caller's timeout, so that a timeout means that
# the peer is paused, dead or unreachable and not only slow.
ANSWER_WAIT_MS = 100
MAX_RECORDS = 512
MAX_ANSWER_BYTES = 32 * 1024 * 1024
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
    # Transfers up to this number are forgotten and never run again.
    forgotten_sequence: int = 0


class WorkReceiver:
    """Owns the right to run each transferred request, at most once.

    Every transfer leaves a record, also a refused or cancelled one, so that
    a duplicate or late delivery finds it. Records are bounded; below the
    number of the last one that was dropped, a transfer is ``lost``.

    Args:
        link: PeerLink.
        clock: Clock of the deadlines.
        start: ``RequestScheduler.start_transferred``.
        on_refused: Called with the name of a peer whose request found no
            free slot.
    """

    def __init__(self, link, clock, start, on_refused):
        self._link = link
        self._clock = clock
        self._start = start
        self._on_refused = on_refused
        self._senders = collections.OrderedDict()

    def handle_transfer(self, message, peer):
        """Run a request or join its earlier delivery; handles WorkTransfer."""
        if message.service != self._link.read_view().service:
            return self._reply('refused')
        if message.receiver_incarnation != self._link.incarnation:
            return self._reply('lost')
        sender = self._sender(message)
        if sender is None:
            return self._reply('lost')
        record = sender.records.get(message.sequence)
        if record is None:
            if message.sequence <= sender.forgotten_sequence:
                return self._reply('lost')
            record = self._begin(sender, message, peer)
        return self._wait(record)

    def handle_poll(self, message, peer):
        """Return the state of a transfer; handles WorkPoll."""
        if message.receiver_incarnation != self._link.incarnation:
            return self._reply('lost')
        sender = self._sender(message)
        if sender is None:
            return self._reply('lost')
        record = sender.records.get(message.sequence)
        if record is None:
            if message.sequence <= sender.forgotten_sequence:
                return self._reply('lost')
            record = self._remember(sender, message.sequence, 'refused')
        if message.cancel and record.state == 'running':
            record.task.kill(block=False)
        if message.cancel:
            return self._reply(record.state, record.result)
        return self._wait(record)

    def _sender(self, message):
        known = self._senders.get(message.sender)
        if known is not None and message.incarnation < known.incarnation:
            return None
        if known is None or message.incarnation > known.incarnation:
            known = _Sender(message.incarnation)
            self._senders[message.sender] = known
        self._senders.move_to_end(message.sender)
        if len(self._senders) > MAX_SENDERS:
            self._senders.popitem(last=False)
        return known

    def _begin(self, sender, message, peer):
        request = self._make_request(message, peer)
        record = self._remember(sender, message.sequence, 'running')

        def finish(job):
            if job.result.ready():
                record.result = job.result.value
                record.state = 'done'
            else:
                record.state = 'lost' if job.started else 'refused'
            record.finished.set()
            self._drop_old(sender)

        record.task = self._start(request, finish)
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

    def _remember(self, sender, sequence, state):
        record = _Record(state)
        sender.records[sequence] = record
        self._drop_old(sender)
        return record

    def _drop_old(self, sender):
        size_bytes = sum(r.size_bytes for r in sender.records.values())
        for sequence, record in list(sender.records.items()):
            too_many = len(sender.records) > MAX_RECORDS
            if not too_many and size_bytes <= MAX_ANSWER_BYTES:
                return
            if record.state == 'running':
                continue
            del sender.records[sequence]
            size_bytes -= record.size_bytes
            sender.forgotten_sequence = max(
                sender.forgotten_sequence, sequence
            )

    def _wait(self, record):
        if record.state == 'running':
            deadline_ms = self._clock.monotonic_ms() + ANSWER_WAIT_MS
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
