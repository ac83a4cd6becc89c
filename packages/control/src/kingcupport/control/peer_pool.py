"""Client for peer messages over pooled TCP connections."""

import collections
import select

import attrs
import gevent
import gevent.lock
import gevent.socket

from kingcupport.control import address_caller
from kingcupport.control import peer_caller
from kingcupport.wire import control_messages
from kingcupport.wire import errors as wire_errors
from kingcupport.wire import peer_stream

# Calls to one peer are mostly sequential; two streams cover overlapping calls.
MAX_IDLE_STREAMS_PER_PEER = 2
MAX_IDLE_STREAMS = 64
# Shorter than peer_server.IDLE_TIMEOUT_MS, so that the pool closes first.
IDLE_TIMEOUT_MS = 20_000
# Bounds open sockets and tasks; further calls wait for a slot until their
# deadline.
MAX_CALLS = 256


@attrs.define(eq=False)
class _PooledStream:
    sock: gevent.socket.socket
    stream: peer_stream.PeerStream
    # Point on the monotonic clock at which the idle stream is closed.
    expires_ms: float = 0


class PeerPool(peer_caller.PeerCaller, address_caller.AddressCaller):
    """Calls peers; each stream carries one call at a time.

    Args:
        registry: FleetRegistry that resolves process names; None when only
            ``call_address`` is used.
        clock: Clock for deadlines.
        counts: collections.Counter of the process.
    """

    def __init__(self, registry, clock, counts):
        self._registry = registry
        self._clock = clock
        self._counts = counts
        # Idle streams by address, the most recently used one last.
        self._idle = collections.defaultdict(list)
        self._idle_count = 0
        self._expiry_task = None
        self._call_slots = gevent.lock.BoundedSemaphore(MAX_CALLS)
        self._revision_callbacks = []
        self._is_closed = False

    def add_revision_callback(self, callback):
        """Call ``callback(revision, address)`` for each reply."""
        self._revision_callbacks.append(callback)

    def call(self, peer, message, deadline_ms):
        """Implement ``PeerCaller.call``."""
        address = self._registry.process_address(peer)
        if address is None:
            raise peer_caller.PeerError(
                'is not in the fleet',
                step='resolve_peer',
                peer=peer,
                sent=False,
            )
        reply = self._call(address, peer, message, deadline_ms)
        if reply.sender != peer:
            # Addresses are reused, so another process may have replied.
            raise peer_caller.PeerError(
                f'{reply.sender!r} answered at {address}',
                step='check_reply',
                peer=peer,
            )
        return reply

    def call_address(self, address, message, deadline_ms):
        """Implement ``AddressCaller.call_address``."""
        return self._call(address, str(address), message, deadline_ms)

    def close(self):
        """Close idle streams now and streams in use after their call."""
        self._is_closed = True
        if self._expiry_task is not None:
            self._expiry_task.kill()
        for pooled in [
            p for idle_streams in self._idle.values() for p in idle_streams
        ]:
            pooled.stream.close()
        self._idle.clear()
        self._idle_count = 0

    def _call(self, address, peer, message, deadline_ms):
        self._counts['peer_calls'] += 1
        try:
            reply = self._call_within_limit(
                address, peer, message, deadline_ms
            )
        except peer_caller.PeerError:
            self._counts['peer_calls_failed'] += 1
            raise
        for callback in self._revision_callbacks:
            callback(reply.revision, address)
        if isinstance(reply, control_messages.ErrorReply):
            raise peer_caller.PeerAnswerError(
                reply.code, reply.reason, step='call_peer', peer=peer
            )
        return reply

    def _call_within_limit(self, address, peer, message, deadline_ms):
        remaining_s = self._remaining_s(deadline_ms, peer)
        if not self._call_slots.acquire(timeout=remaining_s):
            raise peer_caller.PeerError(
                f'{MAX_CALLS} calls are under way',
                step='connect',
                peer=peer,
                sent=False,
            )
        try:
            return self._exchange(address, peer, message, deadline_ms)
        finally:
            self._call_slots.release()

    def _exchange(self, address, peer, message, deadline_ms):
        pooled = self._take_idle(address)
        if pooled is None:
            pooled = self._connect(address, peer, deadline_ms)
        is_reusable = False
        try:
            remaining_s = self._remaining_s(deadline_ms, peer)
            reply = _exchange_messages(
                pooled.stream, peer, message, remaining_s
            )
            is_reusable = True
        finally:
            # The reply to a failed call may still arrive and must not be
            # taken for the reply to the next call on the stream.
            if not is_reusable or not self._return_idle(address, pooled):
                pooled.stream.close()
        return reply

    def _connect(self, address, peer, deadline_ms):
        family = (
            gevent.socket.AF_INET6
            if ':' in address.ip
            else gevent.socket.AF_INET
        )
        sock = gevent.socket.socket(family, gevent.socket.SOCK_STREAM)
        try:
            with _timeout(self._remaining_s(deadline_ms, peer)):
                sock.connect(address.as_tuple())
            sock.setsockopt(
                gevent.socket.IPPROTO_TCP, gevent.socket.TCP_NODELAY, 1
            )
        except BaseException as error:
            sock.close()
            if not isinstance(error, OSError):
                raise
            raise peer_caller.PeerError(
                f'cannot connect: {error}',
                step='connect',
                peer=peer,
                sent=False,
            ) from None
        return _PooledStream(sock, peer_stream.PeerStream(sock, peer))

    def _remaining_s(self, deadline_ms, peer):
        remaining_ms = deadline_ms - self._clock.monotonic_ms()
        if remaining_ms <= 0:
            raise peer_caller.PeerError(
                'deadline passed before the message was sent',
                step='connect',
                peer=peer,
                sent=False,
            )
        return remaining_ms / 1000

    def _take_idle(self, address):
        idle_streams = self._idle.get(address)
        while idle_streams:
            pooled = idle_streams.pop()
            self._idle_count -= 1
            if not idle_streams:
                del self._idle[address]
            if not _is_readable(pooled.sock):
                return pooled
            pooled.stream.close()
        return None

    def _return_idle(self, address, pooled):
        idle_streams = self._idle.get(address, ())
        if (
            self._is_closed
            or self._idle_count >= MAX_IDLE_STREAMS
            or len(idle_streams) >= MAX_IDLE_STREAMS_PER_PEER
        ):
            return False
        pooled.expires_ms = self._clock.monotonic_ms() + IDLE_TIMEOUT_MS
        self._idle[address].append(pooled)
        self._idle_count += 1
        if self._expiry_task is None:
            self._expiry_task = gevent.spawn(self._run_expiry)
        return True

    def _run_expiry(self):
        while self._idle:
            idle_streams = [
                p for streams in self._idle.values() for p in streams
            ]
            self._clock.sleep_until(min(p.expires_ms for p in idle_streams))
            self._close_expired()
        self._expiry_task = None

    def _close_expired(self):
        now_ms = self._clock.monotonic_ms()
        for address, streams in list(self._idle.items()):
            expired = [p for p in streams if p.expires_ms <= now_ms]
            for pooled in expired:
                streams.remove(pooled)
                self._idle_count -= 1
                pooled.stream.close()
            if not streams:
                del self._idle[address]


def _exchange_messages(stream, peer, message, remaining_s):
    # A peer processes complete messages only. If sending fails, the last bytes
    # were not passed to the kernel, so the peer cannot have the message.
    is_sent = False
    try:
        with _timeout(remaining_s):
            stream.send(message)
            is_sent = True
            reply = stream.receive()
    except (OSError, wire_errors.WireError) as error:
        raise peer_caller.PeerError(
            f'no reply: {error}', step='call_peer', peer=peer, sent=is_sent
        ) from None
    if reply is None:
        raise peer_caller.PeerError(
            'no reply: the peer closed the connection',
            step='call_peer',
            peer=peer,
        )
    return reply


def _is_readable(sock):
    # An idle stream is readable only if the peer has closed it or sent data
    # that belongs to no call.
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(0))


def _timeout(remaining_s):
    return gevent.Timeout(remaining_s, TimeoutError('deadline passed'))
