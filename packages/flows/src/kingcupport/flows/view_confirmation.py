"""Up to which time a view matches the store, and what that shows."""

# A view that was not confirmed for this long has missed more than one read.
# The source was probably unavailable, and entries may have expired meanwhile.
MIN_OUTAGE_MS = 2_500
# Servers whose entries expired during an outage of the source register again
# within about 2,000 ms of its recovery.
REREGISTRATION_GRACE_MS = 2_000
# Time for the last reports and expiries to arrive before a view counts as
# complete, or takes every entry of a restored store as it is.
SETTLING_MARGIN_MS = 500


class ViewConfirmation:
    """When a view matched the store, and whether it then was complete.

    A view is complete if it lists every server that may hold flows. Entries
    are missing for a while after an outage of the store, and a view that has
    just started cannot tell whether there was one. Until they are back, that a
    view does not list a server says nothing about the server's flows.

    Args:
        clock: Clock.

    Attributes:
        confirmed_ms: When the store last confirmed the view, on the monotonic
            clock; None before the first time.
        complete_ms: When the view was last known to be complete, on the
            monotonic clock; None before the first time.
        wanted_ms: Time since which a decision needs the view confirmed; None
            if no decision does.
    """

    def __init__(self, clock):
        self._clock = clock
        self.confirmed_ms = None
        self.complete_ms = None
        self.wanted_ms = None
        self._complete_from_ms = 0.0
        self._vouch_from_ms = 0.0
        self._await_missing_entries(clock.monotonic_ms())

    @property
    def is_complete(self):
        """Whether the latest confirmation found the view complete."""
        return (
            self.complete_ms is not None
            and self.complete_ms >= self.confirmed_ms
        )

    @property
    def can_vouch(self):
        """Whether a peer with an equal view has a complete one, too.

        After the removal of a server that did not drain, only this view knows
        that the server may still hold flows.
        """
        return self.is_complete and self.confirmed_ms >= self._vouch_from_ms

    @property
    def wanted_read_ms(self):
        """When a read can give the requested confirmation, or None."""
        if self.wanted_ms is None or self.is_complete_since(self.wanted_ms):
            return None
        return max(self.wanted_ms, self._complete_from_ms)

    def age_ms(self):
        """Return the time since the store last confirmed the view.

        Returns:
            Milliseconds, or None before the first confirmation.
        """
        if self.confirmed_ms is None:
            return None
        return self._clock.monotonic_ms() - self.confirmed_ms

    def is_complete_since(self, time_ms):
        """Whether the view lists every server that may hold an earlier flow.

        Only a read that started later shows this: a server may have registered
        and taken flows just before.

        Args:
            time_ms: When a packet of the flow arrived, on the monotonic clock.
        """
        return self.complete_ms is not None and self.complete_ms >= time_ms

    def is_confirmed_since(self, time_ms):
        """Whether the configuration is the store's at a time or later.

        Args:
            time_ms: Time on the monotonic clock.
        """
        return self.confirmed_ms is not None and self.confirmed_ms >= time_ms

    def request(self, time_ms):
        """Ask for a confirmation that is not older than a time.

        Args:
            time_ms: Time on the monotonic clock.
        """
        self.wanted_ms = max(self.wanted_ms or time_ms, time_ms)

    def is_after_outage(self, confirmed_ms):
        """Whether entries may have expired since the last confirmation.

        Args:
            confirmed_ms: Time of the next one, on the monotonic clock.
        """
        return (
            self.confirmed_ms is not None
            and confirmed_ms - self.confirmed_ms > MIN_OUTAGE_MS
        )

    def confirm(self, confirmed_ms, *, is_complete, is_settled):
        """Record that the view matched the store.

        Args:
            confirmed_ms: When it matched, on the monotonic clock.
            is_complete: Whether a peer has found an equal view complete.
            is_settled: Whether the view takes the entries of the store as they
                are.
        """
        if is_complete:
            self._complete_from_ms = min(self._complete_from_ms, confirmed_ms)
        elif self.confirmed_ms is None or self.is_after_outage(confirmed_ms):
            self._await_missing_entries(confirmed_ms)
        if self.confirmed_ms is not None and confirmed_ms < self.confirmed_ms:
            return
        self.confirmed_ms = confirmed_ms
        if is_settled and confirmed_ms >= self._complete_from_ms:
            self.complete_ms = confirmed_ms

    def on_entry_rejected(self, expiry_ms):
        """Record that an invalid entry may hide that of a server.

        Args:
            expiry_ms: Time after which the store drops the entry of a silent
                server.
        """
        self._complete_from_ms = max(
            self._complete_from_ms, self._clock.monotonic_ms() + expiry_ms
        )

    def on_server_lost(self):
        """Record that a server without a drain is no longer listed."""
        self._vouch_from_ms = _entries_back_ms(self._clock.monotonic_ms())

    def _await_missing_entries(self, now_ms):
        self._complete_from_ms = _entries_back_ms(now_ms)


def _entries_back_ms(now_ms):
    return now_ms + REREGISTRATION_GRACE_MS + SETTLING_MARGIN_MS


def make_view_confirmation(clock):
    """Return the state of a view that was never confirmed.

    Args:
        clock: Clock.
    """
    return ViewConfirmation(clock)
