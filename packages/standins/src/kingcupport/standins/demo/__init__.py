"""The program ``kingcupport-demo``."""
