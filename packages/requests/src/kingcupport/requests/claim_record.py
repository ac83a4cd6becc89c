"""Record of a claim: the attempt and the agent that hold a key."""

import hashlib

import attrs

FINGERPRINT_BYTES = 16


@attrs.frozen
class ClaimRecord:
    """A claim as one process knows it.

    Args:
        key: The ``Idempotency-Key``.
        fingerprint: Digest of method, target and body.
        attempt: Unique identifier of the attempt.
        holder: Name of the agent that runs or ran the attempt.
        holder_incarnation: Random number that identifies the holder's process.
        version: Incremented whenever another agent becomes the holder.
        expires_ms: Retention deadline on this process's monotonic clock.
    """

    key: str
    fingerprint: bytes
    attempt: str
    holder: str
    holder_incarnation: int
    version: int
    expires_ms: float


def remaining_ms(deadline_ms, now_ms):
    """Return the whole milliseconds until a deadline, at least 0."""
    return max(0, round(deadline_ms - now_ms))


def encode_record(record, now_ms):
    """Encode a ClaimRecord as the array used in peer messages."""
    return [
        record.key,
        record.fingerprint,
        record.attempt,
        record.holder,
        record.holder_incarnation,
        record.version,
        remaining_ms(record.expires_ms, now_ms),
    ]


def decode_record(plain, now_ms):
    """Decode a ClaimRecord from the array used in peer messages.

    Raises:
        ValueError: The array has the wrong length or element types.
    """
    types = (str, bytes, str, str, int, int, int)
    if len(plain) != len(types) or not all(map(isinstance, plain, types)):
        raise ValueError('is not a claim')
    return ClaimRecord(*plain[:-1], now_ms + plain[-1])


def compute_fingerprint(request):
    """Return the digest that distinguishes requests under the same key."""
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (request.method.encode(), request.target.encode()):
        digest.update(len(part).to_bytes(4, 'big') + part)
    digest.update(request.body)
    return digest.digest()
