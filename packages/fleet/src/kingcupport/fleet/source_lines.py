"""Finds the line of a release note's text that an error is about."""

import re

# In the order in which reasons name them: the section, a quoted name, key or
# value, an address.
_WORDS = re.compile(
    r"\b((?:added|changed|withdrawn)\.\w+)|'([^']+)'|([\d.\[\]:a-f]+:\d+)"
)


def find_line(text, reason):
    """Return the number of the line that an error's reason is about.

    TOML readers keep no positions. The words of the reason are looked up one
    after the other, each from the line of the previous one on, and a word
    that is not there is skipped.

    Args:
        text: TOML text of the release note.
        reason: Reason of a ReleaseNoteError.

    Returns:
        The number of the line, counted from 1, or None.
    """
    lines = [line.split('#')[0] for line in text.splitlines()]
    found = None
    for match in _WORDS.finditer(reason):
        word = next(filter(None, match.groups()))
        # Whole words only: gate-1 must not be found in gate-10.
        pattern = re.compile(rf'(?<![\w-]){re.escape(word)}(?![\w-])')
        start = found or 1
        numbers = (
            number
            for number, line in enumerate(lines[start - 1 :], start)
            if pattern.search(line)
        )
        found = next(numbers, found)
    return found
