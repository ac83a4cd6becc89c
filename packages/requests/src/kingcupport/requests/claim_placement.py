"""Placement of keys on agents by rendezvous hashing."""

import attrs
import xxhash


def rank_hosts(key, hosts):
    """Return hosts in order of decreasing rendezvous score for a key.

    Args:
        key: The ``Idempotency-Key``.
        hosts: Host names.

    Returns:
        List of names. The first is the key's agent; the second keeps copies
        of claims that the key's agent holds itself.
    """
    return sorted(hosts, key=lambda host: _score(key, host), reverse=True)


def _score(key, host):
    return xxhash.xxh3_64_intdigest(f'{host}\0{key}'.encode()), host


def find_key_agent(key, hosts):
    """Return the host with the highest score for a key, or None."""
    return max(hosts, key=lambda host: _score(key, host), default=None)


@attrs.frozen
class ClaimView:
    """The hosts of a service as known to one agent.

    Agents with equal views agree on the agent of every key.

    Args:
        members: ``(name, added_revision)`` of each host, sorted. The
            revision distinguishes a host from an earlier one of that name.
        fences: ``(name, generation)`` of members with a generation above 0,
            sorted. An odd generation means that the host is absent.
    """

    members: tuple
    fences: tuple

    def member(self, name):
        """Return ``(name, added_revision)`` of a host, or None."""
        return next((m for m in self.members if m[0] == name), None)

    @property
    def names(self):
        """Names of all hosts, fenced ones included."""
        return tuple(name for name, _ in self.members)

    @property
    def active(self):
        """Names of the hosts that are not fenced as absent."""
        absent = {name for name, generation in self.fences if generation % 2}
        return tuple(name for name in self.names if name not in absent)


def make_claim_view(members, generations):
    """Return the ClaimView of members, given fence generations by name."""
    members = tuple(sorted((name, revision) for name, revision in members))
    fences = tuple(
        (name, generations[name])
        for name, _ in members
        if generations.get(name, 0)
    )
    return ClaimView(members, fences)


def members_of(fleet, service):
    """Return ``(name, added_revision)`` of each host of a service."""
    return tuple(
        (b.name, b.added_revision) for b in fleet.backend_servers_of(service)
    )
