"""Result of offering a release note or fleet to a FleetRegistry."""

import enum


class OfferResult(enum.Enum):
    """Result of an offer to a FleetRegistry."""

    # Now in force.
    ACCEPTED = 'accepted'
    # Already in force, or older than the revision in force.
    KNOWN = 'known'
    # Another digest at the revision in force; the fleet in force is kept.
    CONFLICT = 'conflict'
    # A newer note with another base; the whole fleet must be read.
    UNFIT = 'unfit'
    # Malformed, or invalid for the fleet that it is based on.
    REFUSED = 'refused'
