"""Which hosts lost claims, and until when a lost claim may be in force."""


class ClaimLosses:
    """Deadlines by which the claims that a host lost have expired.

    A claim is known by two processes, so it is lost only when two hosts lost
    their memory before either was restored.

    Args:
        clock: Clock.
    """

    def __init__(self, clock):
        self._clock = clock
        self._deadlines_ms = {}
        self._inherited_ms = 0
        self.own_ms = 0

    def note_gone(self, host, deadline_ms):
        """Note that a host is missing, unless that is known already."""
        if self._deadlines_ms.get(host, 0) <= self._clock.monotonic_ms():
            self._deadlines_ms[host] = deadline_ms

    def note_return(self, host, deadline_ms):
        """Renew the deadline of a host that came back without its memory."""
        if host in self._deadlines_ms:
            self._deadlines_ms[host] = deadline_ms

    def note_answer(self, host, loss_ms, blind_ms):
        """Take over what a host says of itself.

        Args:
            host: Name of the host.
            loss_ms: Time until all claims that it lost have expired.
            blind_ms: Time until all claims that it may have missed have.
        """
        now_ms = self._clock.monotonic_ms()
        self._deadlines_ms.pop(host, None)
        if loss_ms:
            self._deadlines_ms[host] = now_ms + loss_ms
        self._inherited_ms = max(self._inherited_ms, now_ms + blind_ms)

    def note_others(self, remaining, answered):
        """Take over what a peer knows of hosts that have not answered here.

        Args:
            remaining: Time in milliseconds by host name.
            answered: Names of hosts that spoke for themselves.
        """
        now_ms = self._clock.monotonic_ms()
        for host, loss_ms in remaining.items():
            if host in answered:
                continue
            known_ms = self._deadlines_ms.get(host, 0)
            self._deadlines_ms[host] = max(known_ms, now_ms + loss_ms)

    def remaining(self):
        """Return the time in milliseconds by host name, for peers."""
        now_ms = self._clock.monotonic_ms()
        return {
            host: round(deadline_ms - now_ms)
            for host, deadline_ms in self._deadlines_ms.items()
            if deadline_ms > now_ms
        }

    def blind_until_ms(self, single_copies):
        """Return when every claim that no process may know has expired.

        The result never goes back.

        Args:
            single_copies: Whether claims were known by one process only,
                because the service had one host.
        """
        losses = sorted([0, self.own_ms, *self._deadlines_ms.values()])
        # Kept, because the next view no longer shows that a host was alone.
        self._inherited_ms = max(
            self._inherited_ms, losses[-1 if single_copies else -2]
        )
        return self._inherited_ms
