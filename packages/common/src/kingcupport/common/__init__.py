"""Errors, clock, addresses and checked settings."""
