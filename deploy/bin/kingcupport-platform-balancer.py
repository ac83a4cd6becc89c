"""Starts kingcupport-platform-balancer from target/deps."""

import gc

# Nothing that an import makes is garbage; looking for it delays the start.
gc.disable()

import module_archive  # noqa: E402

module_archive.use('balancer.modules')

from kingcupport.platform import balancer_program  # noqa: E402

gc.enable()
gc.freeze()
balancer_program.main()
