"""Interface to the platform's instance list for at-most-once execution."""

import abc

GONE = 'gone'


class ClaimInstanceList(abc.ABC):
    """Reports the state of each instance on the platform."""

    @abc.abstractmethod
    def states(self):
        """Return ``{name: 'live' | 'leaving' | 'gone'}``.

        Called about once a second and whenever the rebuild task evaluates
        the replies of peers, so it must not block. An instance that is not
        listed does not count as gone.
        """
