"""Revisions of a store that can be restored from an older copy.

A restored store gives out revisions again. Its era, which each restore raises,
tells them apart. A qualified revision has the era in its upper bits, so that
every revision after a restore is greater than all before it.
"""

_NUMBER_BITS = 48
MAX_NUMBER = 2**_NUMBER_BITS - 1
# A qualified revision fits in the 64 bits of a msgpack integer.
MAX_ERA = 2**15 - 1


def qualify(era, number):
    """Return the qualified revision of a store's revision.

    Args:
        era: Number of the store's era.
        number: Revision within the era.

    Raises:
        ValueError: An argument is out of range.
    """
    if not (0 <= era <= MAX_ERA and 0 <= number <= MAX_NUMBER):
        raise ValueError(f'revision {number} of era {era} is out of range')
    return era << _NUMBER_BITS | number


def era_of(revision):
    """Return the era of a qualified revision."""
    return revision >> _NUMBER_BITS


def number_of(revision):
    """Return a qualified revision as the store numbers it in its era."""
    return revision & MAX_NUMBER


def to_text(revision):
    """Return a qualified revision as ``era:number`` for the log."""
    return f'{era_of(revision)}:{number_of(revision)}'
