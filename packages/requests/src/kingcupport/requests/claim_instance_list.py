"""The platform's instance list as at-most-once execution uses it."""

import abc

GONE = 'gone'


class ClaimInstanceList(abc.ABC):
    """States of the platform's instances."""

    @abc.abstractmethod
    def states(self):
        """Return ``{name: 'live' | 'leaving' | 'gone'}``.

        Called about once a second and from the asking task, so it must not
        block. A name that is missing counts as not gone.
        """
