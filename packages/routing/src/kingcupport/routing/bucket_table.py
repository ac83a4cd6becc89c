"""Bucket tables of services, by weighted rendezvous hashing."""

import array
import math

import attrs
import xxhash

BUCKETS_PER_HOST = 64
# Doubling the table moves half of its buckets. Tables therefore start with
# enough buckets for 16 hosts, so that small services need no doubling.
MIN_BUCKETS = 1024

_HASH_RANGE = 1 << 64
_hash_connection = xxhash.xxh3_64_intdigest


@attrs.frozen
class Host:
    """A host that can own buckets.

    Args:
        name: Name of the backend server.
        weight: Share of the buckets, relative to the other hosts.
    """

    name: str
    weight: int
    hash_key: bytes = attrs.field(init=False, eq=False, repr=False)

    @hash_key.default
    def _encode_name(self):
        return self.name.encode()


def bucket_count(host_count):
    """Return the number of buckets for a number of hosts, a power of two."""
    min_count = max(MIN_BUCKETS, BUCKETS_PER_HOST * host_count)
    return 1 << (min_count - 1).bit_length()


def host_score(host, bucket):
    """Return a host's score; the highest score for a bucket owns it.

    Args:
        host: The Host.
        bucket: Number of the bucket.

    Returns:
        ``log(u) / weight`` for a hash ``u`` in (0, 1], the score of weighted
        rendezvous hashing.
    """
    digest = xxhash.xxh3_64_intdigest(host.hash_key, seed=bucket)
    return math.log((digest + 1) / _HASH_RANGE) / host.weight


class BucketTable:
    """Maps the buckets of one service to the hosts that own them.

    Args:
        hosts: Tuple of Host, ordered by name.
        previous: BucketTable of the previous fleet, or None. If the owner of
            a bucket is unchanged, only it and the new hosts are scored.
    """

    def __init__(self, hosts, previous=None):
        self.hosts = hosts
        self._mask = bucket_count(len(hosts)) - 1
        if previous is not None and previous._mask == self._mask:
            owners = self._update_owners(previous)
        else:
            buckets = range(self._mask + 1)
            owners = (
                self._highest_scoring_host(hosts, bucket) for bucket in buckets
            )
        index = {host.name: i for i, host in enumerate(hosts)}
        self._owners = array.array('H', (index[o.name] for o in owners))

    @staticmethod
    def _highest_scoring_host(hosts, bucket):
        return max(hosts, key=lambda host: host_score(host, bucket))

    def _update_owners(self, previous):
        unchanged = set(self.hosts) & set(previous.hosts)
        new = [host for host in self.hosts if host not in unchanged]
        for bucket, owner_index in enumerate(previous._owners):
            owner = previous.hosts[owner_index]
            if owner in unchanged:
                yield self._highest_scoring_host((owner, *new), bucket)
            else:
                yield self._highest_scoring_host(self.hosts, bucket)

    def bucket(self, connection_id):
        """Return the number of a connection's bucket."""
        digest = _hash_connection(connection_id.to_bytes(8, 'big'))
        return digest & self._mask

    def owner(self, connection_id):
        """Return the name of the host that owns a connection's bucket."""
        return self.hosts[self._owners[self.bucket(connection_id)]].name

    def candidates(self, connection_id, count):
        """Return the names of the highest-scoring hosts, best one first.

        Args:
            connection_id: The connection.
            count: Maximum number of names.
        """
        bucket = self.bucket(connection_id)
        ranked = sorted(
            self.hosts,
            key=lambda host: host_score(host, bucket),
            reverse=True,
        )
        return tuple(host.name for host in ranked[:count])

    def bucket_counts(self):
        """Return the number of buckets that each host owns, by name."""
        return {
            host.name: self._owners.count(i)
            for i, host in enumerate(self.hosts)
        }
