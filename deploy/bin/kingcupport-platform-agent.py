"""Starts kingcupport-platform-agent from target/deps."""

import gc

# Imports create no garbage, so collections would only delay the start.
gc.disable()

import module_archive  # noqa: E402

compiled_texts = module_archive.install('agent.modules')

from kingcupport.platform import agent_program  # noqa: E402

compiled_texts.restore()
gc.enable()
gc.freeze()
agent_program.main()
