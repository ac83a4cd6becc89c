"""What became of a release note or fleet that was offered."""

import enum


class OfferResult(enum.Enum):
    """Answer of the fleet keeper to an offer."""

    # In force from now on.
    ACCEPTED = 'accepted'
    # Already in force, or older than what is in force.
    KNOWN = 'known'
    # Another note or fleet of the revision in force; the first one stays.
    CONFLICT = 'conflict'
    # A newer note with another base: the whole fleet is needed.
    UNFIT = 'unfit'
    # Malformed, or it contradicts its own base.
    REFUSED = 'refused'
