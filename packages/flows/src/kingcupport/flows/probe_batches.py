"""Probes of several surveys that go out as one datagram to each agent.

After an outage an agent surveys the others for tens of lost flows within a few
milliseconds. Without batches, each survey takes a datagram to every agent and
one back.
"""

import attrs

# Probes are collected for this long after the last ones were sent. The first
# probe after a pause is sent at once.
COLLECT_MS = 4
# Packets in a datagram; with its header it fits in an Ethernet frame.
MAX_PACKETS_BYTES = 1_200
# An agent that has not answered a batch by then is asked one by one. The
# survey waits 60 ms for it.
ANSWER_TIMEOUT_MS = 30
# For this long an agent that has never answered a batch gets no other one.
SINGLE_PROBES_MS = 30_000


@attrs.define
class _Sent:
    deadline_ms: float
    packets: list


class ProbeBatches:
    """The probes of one agent that wait to be sent, or for an answer.

    Args:
        clock: Clock.
    """

    def __init__(self, clock):
        self._clock = clock
        self._waiting = {}
        self._sent = {}
        # When the agents last answered a batch.
        self._answered_ms = {}
        # Until when agents that do not answer batches are asked one by one.
        self._single_until_ms = {}

    def __len__(self):
        """Return the number of agents whose answers are outstanding."""
        return len(self._sent)

    def add(self, ips, data):
        """Keep a probe until ``pop_batches``.

        Args:
            ips: Addresses of the agents that are probed.
            data: Bytes of the packet.
        """
        for ip in ips:
            self._waiting.setdefault(ip, []).append(data)

    def pop_batches(self):
        """Return the waiting probes.

        Returns:
            ``(ips, packets)`` pairs: agents and the packets to send to each in
            one datagram. A single packet is not sent as a batch, because all
            revisions know single probes.
        """
        now_ms = self._clock.monotonic_ms()
        groups = {}
        for ip, packets in self._waiting.items():
            is_single = self._single_until_ms.get(ip, now_ms) > now_ms
            key = (is_single, *map(id, packets))
            groups.setdefault(key, (is_single, packets, []))[2].append(ip)
        self._waiting = {}
        batches = []
        for is_single, packets, ips in groups.values():
            limit_bytes = 0 if is_single else MAX_PACKETS_BYTES
            for batch in _split(packets, limit_bytes):
                batches.append((ips, batch))
                if len(batch) > 1:
                    self._expect_answers(ips, batch)
        return batches

    def on_answer(self, ip):
        """Record that an agent has answered a batch."""
        self._sent.pop(ip, None)
        self._single_until_ms.pop(ip, None)
        self._answered_ms[ip] = self._clock.monotonic_ms()

    def pop_unanswered(self):
        """Return the probes of batches without an answer.

        Returns:
            ``(ip, packets)`` pairs; these agents are asked one by one.
        """
        now_ms = self._clock.monotonic_ms()
        overdue = [
            (ip, sent.packets)
            for ip, sent in self._sent.items()
            if now_ms >= sent.deadline_ms
        ]
        for ip, _ in overdue:
            del self._sent[ip]
            if ip not in self._answered_ms:
                self._single_until_ms[ip] = now_ms + SINGLE_PROBES_MS
        return overdue

    def drop_expired(self):
        """Forget what is old about agents; called periodically."""
        now_ms = self._clock.monotonic_ms()
        self._single_until_ms = {
            ip: until_ms
            for ip, until_ms in self._single_until_ms.items()
            if until_ms > now_ms
        }
        self._answered_ms = {
            ip: answered_ms
            for ip, answered_ms in self._answered_ms.items()
            if answered_ms > now_ms - SINGLE_PROBES_MS
        }

    def _expect_answers(self, ips, packets):
        deadline_ms = self._clock.monotonic_ms() + ANSWER_TIMEOUT_MS
        for ip in ips:
            sent = self._sent.setdefault(ip, _Sent(deadline_ms, []))
            sent.packets += packets


def _split(packets, limit_bytes):
    batch = []
    size_bytes = 0
    for data in packets:
        if batch and size_bytes + len(data) > limit_bytes:
            yield batch
            batch = []
            size_bytes = 0
        batch.append(data)
        size_bytes += len(data)
    yield batch


def make_probe_batches(clock):
    """Return an empty set of batches.

    Args:
        clock: Clock.
    """
    return ProbeBatches(clock)
