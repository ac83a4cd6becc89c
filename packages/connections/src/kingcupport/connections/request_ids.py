"""Ids of requests and handoffs."""

import itertools


def make_id_source(prefix):
    """Return a function that returns a new id on each call.

    Args:
        prefix: Text that is unique to the process and its start.
    """
    numbers = itertools.count(1)
    return lambda: f'{prefix}-{next(numbers)}'
