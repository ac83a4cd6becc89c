"""Starts kingcupport-platform-balancer from target/deps."""

from kingcupport.platform import balancer_program

balancer_program.main()
