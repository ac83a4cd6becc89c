"""Locates errors in the text of a release note."""

import re

# Search terms in the order in which error reasons contain them: a section, a
# quoted name, key or value, and an address.
_SEARCH_TERMS = re.compile(
    r"\b((?:added|changed|withdrawn)\.\w+)|'([^']+)'|([\d.\[\]:a-f]+:\d+)"
)


def find_line(text, reason):
    """Return the number of the line that an error's reason refers to.

    TOML parsers keep no positions. Each search term of the reason is looked up
    starting at the line of the previous one; terms that do not occur are
    skipped.

    Args:
        text: TOML text of the release note.
        reason: Reason of a ReleaseNoteError.

    Returns:
        The line number, starting at 1, or None if no term occurs.
    """
    lines = [line.split('#')[0] for line in text.splitlines()]
    line_number = None
    for match in _SEARCH_TERMS.finditer(reason):
        word = next(filter(None, match.groups()))
        # Match whole names only: gate-1 must not match gate-10.
        pattern = re.compile(rf'(?<![\w-]){re.escape(word)}(?![\w-])')
        start = line_number or 1
        matching_numbers = (
            number
            for number, line in enumerate(lines[start - 1 :], start)
            if pattern.search(line)
        )
        line_number = next(matching_numbers, line_number)
    return line_number
