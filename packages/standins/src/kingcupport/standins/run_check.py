"""Reads run counts to check them against the answers to callers."""

import collections

import attrs

from kingcupport.common import errors
from kingcupport.standins import json_client


@attrs.frozen
class ServerRuns:
    """Aggregated run counts of several servers.

    Args:
        by_key: Number of runs by ``Idempotency-Key``.
        by_request_id: Number of runs by ``X-Request-Id``.
        busy_ms_by_server: Busy times by server name, by service.
        unread: Addresses of servers that did not answer.
    """

    by_key: collections.Counter
    by_request_id: collections.Counter
    busy_ms_by_server: dict
    unread: tuple

    def run_twice(self, keys, unkeyed_ids):
        """Return the keys and request identifiers that ran more than once.

        Args:
            keys: Idempotency keys of the callers' requests.
            unkeyed_ids: Identifiers of non-idempotent requests without a key.
        """
        twice_by_key = [k for k in keys if self.by_key[k] > 1]
        return twice_by_key + [
            i for i in unkeyed_ids if self.by_request_id[i] > 1
        ]

    def ran(self, request_ids):
        """Return the request identifiers that ran at least once."""
        return [i for i in request_ids if self.by_request_id[i]]


def read_runs(addresses):
    """Read and aggregate the run counts of servers.

    Args:
        addresses: Addresses of backend server stand-ins.

    Returns:
        ServerRuns.
    """
    by_key = collections.Counter()
    by_request_id = collections.Counter()
    busy_ms_by_server = collections.defaultdict(dict)
    unread = []
    for address in addresses:
        try:
            plain = json_client.call(address, 'GET', '/_runs')
        except errors.KingcupportError:
            unread.append(address)
            continue
        by_key.update(plain['by_key'])
        by_request_id.update(plain['by_request_id'])
        busy_ms = busy_ms_by_server[plain['service']]
        busy_ms[plain['server']] = plain['busy_ms']
    return ServerRuns(
        by_key, by_request_id, dict(busy_ms_by_server), tuple(unread)
    )
