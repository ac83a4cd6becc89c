"""Reliable byte streams over packets, HTTP parsing and handoffs."""
