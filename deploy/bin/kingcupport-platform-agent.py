"""Starts kingcupport-platform-agent from target/deps."""

import gc

# Nothing that an import makes is garbage; looking for it delays the start.
gc.disable()

import module_archive  # noqa: E402

module_archive.use('agent.modules')

from kingcupport.platform import agent_program  # noqa: E402

gc.enable()
gc.freeze()
agent_program.main()
