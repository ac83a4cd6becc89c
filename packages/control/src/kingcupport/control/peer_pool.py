"""Asks peers over pooled TCP connections."""

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

# Calls to one peer are mostly sequential; two streams cover an overlap.
MAX_IDLE_STREAMS_PER_PEER = 2
MAX_IDLE_STREAMS = 64
# Shorter than the server's idle timeout, see PeerServer.
IDLE_TIMEOUT_MS = 20_000
# Bounds sockets and tasks; further calls wait until their deadline.
MAX_CALLS = 256


@attrs.define(eq=False)
class _PooledStream:
    sock: gevent.socket.socket
    stream: peer_stream.PeerStream
    # Point on the monotonic clock up to which it is kept idle.
    expires_ms: float = 0


class PeerPool(peer_caller.PeerCaller, address_caller.AddressCaller):
    """Calls peers; a stream carries one call at a time.

    Args:
        keeper: FleetKeeper that resolves names; None where only addresses
            are called.
        clock: Clock for deadlines.
        counts: collections.Counter of the process.
    """

    def __init__(self, keeper, clock, counts):
        self._keeper = keeper
        self._clock = clock
        self._counts = counts
        # Idle streams by address, the one used last at the end.
        self._idle = collections.defaultdict(list)
        self._idle_count = 0
        self._sweeper = None
        self._calls = gevent.lock.BoundedSemaphore(MAX_CALLS)
        self._revision_callbacks = []
        self._is_closed = False

    def on_revision(self, callback):
        """Call ``callback(revision, address)`` for each reply."""
        self._revision_callbacks.append(callback)

    def call(self, peer, message, deadline_ms):
        """Implement ``PeerCaller.call``."""
        address = self._keeper.process_address(peer)
        if address is None:
            raise peer_caller.PeerError(
                'is not in the fleet',
                step='resolve_peer',
                peer=peer,
                sent=False,
            )
        reply = self._call(address, peer, message, deadline_ms)
        if reply.sender != peer:
            # Addresses are reused, so another process may have answered.
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
        """Close the idle streams; streams in use are closed after use."""
        self._is_closed = True
        if self._sweeper is not None:
            self._sweeper.kill()
        for pooled in [p for kept in self._idle.values() for p in kept]:
            pooled.stream.close()
        self._idle.clear()
        self._idle_count = 0

    def _call(self, address, peer, message, deadline_ms):
        self._counts['peer_calls'] += 1
        try:
            reply = self._call_bounded(address, peer, message, deadline_ms)
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

    def _call_bounded(self, address, peer, message, deadline_ms):
        remaining_s = self._remaining_s(deadline_ms, peer)
        if not self._calls.acquire(timeout=remaining_s):
            raise peer_caller.PeerError(
                f'{MAX_CALLS} calls are under way',
                step='connect',
                peer=peer,
                sent=False,
            )
        try:
            return self._exchange(address, peer, message, deadline_ms)
        finally:
            self._calls.release()

    def _exchange(self, address, peer, message, deadline_ms):
        pooled = self._take_idle(address)
        if pooled is None:
            pooled = self._connect(address, peer, deadline_ms)
        is_reusable = False
        try:
            remaining_s = self._remaining_s(deadline_ms, peer)
            reply = _ask(pooled.stream, peer, message, remaining_s)
            is_reusable = True
        finally:
            # The reply to a failed call may still come; it must not be taken
            # for the reply to the next one.
            if not is_reusable or not self._give_back(address, pooled):
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
        kept = self._idle.get(address)
        while kept:
            pooled = kept.pop()
            self._idle_count -= 1
            if not kept:
                del self._idle[address]
            if not _has_input(pooled.sock):
                return pooled
            pooled.stream.close()
        return None

    def _give_back(self, address, pooled):
        kept = self._idle.get(address, ())
        if (
            self._is_closed
            or self._idle_count >= MAX_IDLE_STREAMS
            or len(kept) >= MAX_IDLE_STREAMS_PER_PEER
        ):
            return False
        pooled.expires_ms = self._clock.monotonic_ms() + IDLE_TIMEOUT_MS
        self._idle[address].append(pooled)
        self._idle_count += 1
        if self._sweeper is None:
            self._sweeper = gevent.spawn(self._sweep)
        return True

    def _sweep(self):
        while self._idle:
            kept = [p for streams in self._idle.values() for p in streams]
            self._clock.sleep_until(min(p.expires_ms for p in kept))
            self._close_expired()
        self._sweeper = None

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


def _ask(stream, peer, message, remaining_s):
    # The peer acts on a whole message only. If sending fails, its last bytes
    # were never handed to the kernel, so the peer cannot have it.
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


def _has_input(sock):
    # An idle stream has nothing to read unless the peer has closed it.
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(0))


def _timeout(remaining_s):
    return gevent.Timeout(remaining_s, TimeoutError('deadline passed'))
