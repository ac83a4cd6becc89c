"""Bucket tables, candidates and location hints."""
