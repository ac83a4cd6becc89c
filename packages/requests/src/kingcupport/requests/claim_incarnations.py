"""Which processes of each host this process has met."""


class ClaimIncarnations:
    """Tells a host that was restarted from one that starts for the first time.

    A process that reads an outdated configuration after a restart cannot
    tell this by itself; its peers can.
    """

    def __init__(self):
        self._earlier_and_present = {}

    def note(self, host, incarnation):
        """Note the present process of a host.

        Args:
            host: Name of the host.
            incarnation: Random number of its process.

        Returns:
            Number of an earlier process, or of the present one if no other
            was met.
        """
        earlier, present = self._earlier_and_present.get(
            host, (incarnation, incarnation)
        )
        if present != incarnation:
            earlier = present
        self._earlier_and_present[host] = (earlier, incarnation)
        return earlier
