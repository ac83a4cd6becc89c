"""Starts kingcupport-platform-balancer from target/deps."""

import gc

# Nothing that an import makes is garbage, and looking for it takes a tenth
# of the time that a start needs.
gc.disable()

from kingcupport.platform import balancer_program  # noqa: E402

gc.enable()
gc.freeze()
balancer_program.main()
