"""The kingcupport-demo program."""
