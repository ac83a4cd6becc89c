"""Starts kingcupport-platform-agent from target/deps."""

from kingcupport.platform import agent_program

agent_program.main()
