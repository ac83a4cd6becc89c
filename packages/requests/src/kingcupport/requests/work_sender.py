"""Transfers queued requests to peers and waits for their answers."""

import itertools

from kingcupport.control import peer_caller
from kingcupport.requests import answer
from kingcupport.requests import backend_port
from kingcupport.wire import work_messages

MIN_POLL_PAUSE_MS = 20
MAX_POLL_PAUSE_MS = 400


class WorkSender:
    """Transfers requests to peers that offered a free slot.

    Args:
        link: PeerLink.
        clock: Clock of the deadlines.
    """

    def __init__(self, link, clock):
        self._link = link
        self._clock = clock
        self._sequences = itertools.count(1)

    def hand_over(self, request, peer, peer_incarnation):
        """Transfer a request to a peer and return its Answer.

        Blocks the calling task; killing it cancels the run at the peer.

        Args:
            request: The Request.
            peer: Name of the peer.
            peer_incarnation: Incarnation from the peer's WorkRequest.

        Returns:
            The Answer, or None when the peer refused the request, which may
            then run elsewhere.

        Raises:
            NotRunError: The peer's server did not run the request.
            OutcomeUnknownError: The request may have run or may still run
                at the peer. For an idempotent request this is raised after
                the first lost reply; for other requests the peer is polled
                until the deadline.
        """
        sequence = next(self._sequences)
        unfinished = True
        try:
            reply = self._send(request, peer, peer_incarnation, sequence)
            reply = self._poll_until_done(
                reply, request, peer, peer_incarnation, sequence
            )
            unfinished = reply is None or reply.state == 'running'
        finally:
            if unfinished:
                poll = self._make_poll(sequence, peer_incarnation, cancel=True)
                self._link.notify(peer, poll)
        return _read_reply(reply, peer)

    def _send(self, request, peer, peer_incarnation, sequence):
        remaining_ms = request.deadline_ms - self._clock.monotonic_ms()
        message = self._link.make(
            work_messages.WorkTransfer,
            service=self._link.read_view().service,
            incarnation=self._link.incarnation,
            sequence=sequence,
            receiver_incarnation=peer_incarnation,
            remaining_ms=max(0, int(remaining_ms)),
            request_id=request.request_id,
            method=request.method,
            target=request.target,
            headers=[list(pair) for pair in request.headers],
            body=request.body,
            idempotency_key=request.idempotency_key,
        )
        try:
            return self._link.call(peer, message)
        except peer_caller.PeerError as error:
            if error.sent:
                return None
            return self._link.make(
                work_messages.WorkReply,
                state='refused',
                status=0,
                headers=[],
                body=b'',
                outcome='',
            )

    def _poll_until_done(
        self, reply, request, peer, peer_incarnation, sequence
    ):
        poll = self._make_poll(sequence, peer_incarnation, cancel=False)
        pause_ms = MIN_POLL_PAUSE_MS
        while reply is None or reply.state == 'running':
            now_ms = self._clock.monotonic_ms()
            if now_ms >= request.deadline_ms:
                return reply
            if reply is None:
                if request.idempotent:
                    return None
                self._clock.sleep_until(
                    min(now_ms + pause_ms, request.deadline_ms)
                )
                pause_ms = min(2 * pause_ms, MAX_POLL_PAUSE_MS)
            try:
                reply = self._link.call(peer, poll)
            except peer_caller.PeerError:
                reply = None
        return reply

    def _make_poll(self, sequence, peer_incarnation, cancel):
        return self._link.make(
            work_messages.WorkPoll,
            incarnation=self._link.incarnation,
            sequence=sequence,
            receiver_incarnation=peer_incarnation,
            cancel=cancel,
        )


def _read_reply(reply, peer):
    if reply is None or reply.state not in ('done', 'refused'):
        raise backend_port.OutcomeUnknownError(
            'no answer after the request was handed over',
            step='hand_over',
            peer=peer,
        )
    if reply.state == 'refused':
        return None
    if reply.outcome == answer.Outcome.NOT_RUN:
        raise backend_port.NotRunError(
            reply.body.decode(errors='replace').strip(),
            step='hand_over',
            peer=peer,
        )
    if reply.outcome == answer.Outcome.UNKNOWN:
        raise backend_port.OutcomeUnknownError(
            reply.body.decode(errors='replace').strip(),
            step='hand_over',
            peer=peer,
        )
    headers = tuple((bytes(n), bytes(v)) for n, v in reply.headers)
    return answer.Answer(reply.status, headers, reply.body)
