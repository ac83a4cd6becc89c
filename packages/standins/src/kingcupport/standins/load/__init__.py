"""The kingcupport-load program."""
