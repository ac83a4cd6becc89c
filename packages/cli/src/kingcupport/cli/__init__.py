"""The kingcupport command line for operators."""
