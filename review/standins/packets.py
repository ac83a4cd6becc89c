"""Packets of the platform's clients and servers."""

import socket
import struct
import zlib

SYN, ACK, FIN, RST, BOUNCED = 64, 16, 2, 1, 128
HEADER_BYTES = 32
MAX_DATA_BYTES = 1_200
MODULUS = 1 << 32
# A client accepts a reset whose sequence number is this close to its last
# acknowledgement.
RESET_WINDOW_BYTES = 76_800
_HEADER = struct.Struct('>BBHHH4s4sIIII')
_KEY = b'review'


class Packet:
    """One packet; ``source`` and ``destination`` are ``(ip, port)``."""

    __slots__ = (
        'ack',
        'data',
        'destination',
        'flags',
        'raw',
        'seq',
        'source',
        'total',
    )

    def __init__(self, raw):
        self.raw = raw
        flags, _, size, sport, dport, dst, src, seq, ack, total, _ = (
            _HEADER.unpack_from(raw)
        )
        self.flags = flags
        self.source = (socket.inet_ntoa(src), sport)
        self.destination = (socket.inet_ntoa(dst), dport)
        self.seq = seq
        self.ack = ack
        self.total = total
        self.data = raw[HEADER_BYTES : HEADER_BYTES + size]

    def is_genuine(self):
        """Whether the sum shows that the sender wrote the packet so."""
        flags = self.flags & ~BOUNCED
        return self.total == _sum(
            flags,
            self.source,
            self.destination,
            self.seq,
            self.ack,
            self.data,
        )


def parse(raw):
    """Return the Packet of a datagram, or None if it is none."""
    if len(raw) < HEADER_BYTES:
        return None
    packet = Packet(raw)
    return packet if len(raw) == HEADER_BYTES + len(packet.data) else None


def make(flags, source, destination, seq, ack, data=b''):
    """Return the bytes of a packet."""
    return (
        _HEADER.pack(
            flags,
            0,
            len(data),
            source[1],
            destination[1],
            socket.inet_aton(destination[0]),
            socket.inet_aton(source[0]),
            seq % MODULUS,
            ack % MODULUS,
            _sum(
                flags, source, destination, seq % MODULUS, ack % MODULUS, data
            ),
            0,
        )
        + data
    )


def bounce(raw):
    """Return a packet as a server returns it undelivered."""
    return bytes((raw[0] | BOUNCED, 0)) + raw[2:]


def distance(first, second):
    """Return the distance of two sequence numbers."""
    difference = (first - second) % MODULUS
    return min(difference, MODULUS - difference)


def _sum(flags, source, destination, seq, ack, data):
    text = f'{flags} {source} {destination} {seq} {ack}'.encode()
    return zlib.crc32(_KEY + text + data)
