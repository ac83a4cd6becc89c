"""Decisions on forwarded flows.

A flow belongs to a backend server; balancers and agents carry its packets.
No module of this package uses the network; clocks and random numbers are
passed in.
"""
