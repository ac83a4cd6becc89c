"""Generates ids of requests and handoffs."""

import itertools


def make_id_source(prefix):
    """Return a function that returns a new id on each call.

    Args:
        prefix: String that is unique to this start of the process.
    """
    numbers = itertools.count(1)
    return lambda: f'{prefix}-{next(numbers)}'
