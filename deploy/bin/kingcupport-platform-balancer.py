"""Starts kingcupport-platform-balancer from target/deps."""

import gc

# Imports create no garbage, so collections would only delay the start.
gc.disable()

import module_archive  # noqa: E402

compiled_texts = module_archive.install('balancer.modules')

from kingcupport.platform import balancer_program  # noqa: E402

compiled_texts.restore()
gc.enable()
gc.freeze()
balancer_program.main()
