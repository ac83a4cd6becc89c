"""Codecs for packets, datagrams and typed peer messages."""
