"""Exit codes of the command line."""

import enum


class ExitCode(enum.IntEnum):
    """What a command reports to the shell.

    ``PROBLEM`` means that the command worked and found something: a note
    that does not hold, or a process that lags.
    """

    DONE = 0
    PROBLEM = 1
    BAD_INPUT = 2
    NO_ANSWER = 3
