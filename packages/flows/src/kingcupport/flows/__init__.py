"""Placement and tracking of forwarded flows.

A flow is assigned to one backend server; balancers and agents forward its
packets. No module of this package uses the network; clocks and random number
generators are passed in.
"""
