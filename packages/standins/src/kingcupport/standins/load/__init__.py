"""The program ``kingcupport-load``."""
