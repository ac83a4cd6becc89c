"""The kingcupport-balancer program."""
