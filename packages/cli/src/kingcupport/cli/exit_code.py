"""Exit codes of the command line."""

import enum


class ExitCode(enum.IntEnum):
    """Exit code of a command.

    ``PROBLEM`` means that the command ran and found a problem, for example
    an invalid release note or a process with an old revision.
    """

    DONE = 0
    PROBLEM = 1
    BAD_INPUT = 2
    NO_ANSWER = 3
