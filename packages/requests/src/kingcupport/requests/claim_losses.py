"""Expiry times of claims that were lost with the memory of hosts."""


class ClaimLosses:
    """Tracks by when the claims that each host lost have expired.

    Two processes know each claim, so it is lost only if two hosts lose their
    memory before either one is rebuilt.

    Args:
        clock: Clock.

    Attributes:
        own_deadline_ms: Monotonic time by which all claims that this process
            lost have expired; 0 if it lost none.
    """

    def __init__(self, clock):
        self._clock = clock
        self._deadlines_ms = {}
        self._latest_expiry_ms = 0
        self.own_deadline_ms = 0

    def record_missing_host(self, host, deadline_ms):
        """Record a host as missing unless a deadline of it is pending."""
        if self._deadlines_ms.get(host, 0) <= self._clock.monotonic_ms():
            self._deadlines_ms[host] = deadline_ms

    def renew_deadline(self, host, deadline_ms):
        """Extend the deadline of a host that returned without its memory."""
        if host in self._deadlines_ms:
            self._deadlines_ms[host] = deadline_ms

    def record_peer_losses(self, host, loss_ms, blind_ms):
        """Record the losses that a host reports for itself.

        Args:
            host: Name of the host.
            loss_ms: Time until all claims that it lost have expired.
            blind_ms: Time until all claims that may be missing from its index
                have expired.
        """
        now_ms = self._clock.monotonic_ms()
        self._deadlines_ms.pop(host, None)
        if loss_ms:
            self._deadlines_ms[host] = now_ms + loss_ms
        self._latest_expiry_ms = max(self._latest_expiry_ms, now_ms + blind_ms)

    def merge_reported_losses(self, remaining, answered):
        """Merge a peer's knowledge of hosts that have not reported here.

        Args:
            remaining: Time in milliseconds until a host's lost claims have
                expired, by host name.
            answered: Names of the hosts that reported their own losses.
        """
        now_ms = self._clock.monotonic_ms()
        for host, loss_ms in remaining.items():
            if host in answered:
                continue
            known_ms = self._deadlines_ms.get(host, 0)
            self._deadlines_ms[host] = max(known_ms, now_ms + loss_ms)

    def remaining(self):
        """Return the milliseconds until expiry by host name, for peers."""
        now_ms = self._clock.monotonic_ms()
        return {
            host: round(deadline_ms - now_ms)
            for host, deadline_ms in self._deadlines_ms.items()
            if deadline_ms > now_ms
        }

    def lost_claims_expiry_ms(self, had_single_copies):
        """Return when all claims that no process may know have expired.

        The result never decreases.

        Args:
            had_single_copies: Whether claims may have been known by a single
                process, so that the loss of one host's memory loses claims.
        """
        losses = sorted(
            [0, self.own_deadline_ms, *self._deadlines_ms.values()]
        )
        # Kept across calls, because later views do not show that the service
        # once had a single host.
        self._latest_expiry_ms = max(
            self._latest_expiry_ms, losses[-1 if had_single_copies else -2]
        )
        return self._latest_expiry_ms
