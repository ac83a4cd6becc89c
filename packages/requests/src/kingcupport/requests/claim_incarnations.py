"""Process incarnations of each host, as observed by this process."""


class ClaimIncarnations:
    """Distinguishes a restarted host from one that starts for the first time.

    A process that reads an outdated configuration after a restart cannot
    detect the restart itself, but its peers can.
    """

    def __init__(self):
        self._earlier_and_current = {}

    def observe(self, host, incarnation):
        """Record the current process of a host.

        Args:
            host: Name of the host.
            incarnation: Random number that identifies its current process.

        Returns:
            Incarnation of the host's preceding process, or the given one if
            no other has been observed.
        """
        earlier, current = self._earlier_and_current.get(
            host, (incarnation, incarnation)
        )
        if current != incarnation:
            earlier = current
        self._earlier_and_current[host] = (earlier, incarnation)
        return earlier
