"""The kingcupport-agent program."""
