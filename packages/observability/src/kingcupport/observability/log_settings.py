"""Log settings, the table ``[log]`` of a program's settings file."""

import attrs

from kingcupport.common import settings

LEVELS = ('debug', 'info', 'warning', 'error')
FORMATS = ('key_value', 'json')


@attrs.frozen
class LogSettings:
    """How events are written to standard error.

    Args:
        level: Minimum level that is written.
        format: ``key_value`` for human readers, ``json`` for collectors.
    """

    level: str = settings.setting('info', choices=LEVELS)
    format: str = settings.setting('key_value', choices=FORMATS)
