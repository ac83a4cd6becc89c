"""Reads KNOWN-RED.txt: listed tests run and are printed, but do not fail."""

import pathlib

import pytest

_KNOWN_RED = pathlib.Path(__file__).parents[1] / 'KNOWN-RED.txt'


def _known_red_ids():
    lines = _KNOWN_RED.read_text(encoding='utf-8').splitlines()
    entries = (line for line in lines if line and not line.startswith('#'))
    return {entry.split('|')[0].strip(): entry for entry in entries}


def pytest_report_header(config):
    """Print each known failing test."""
    return [f'known red: {entry}' for entry in _known_red_ids().values()]


def pytest_collection_modifyitems(config, items):
    """Mark the known failing tests as expected to fail."""
    known = _known_red_ids()
    for item in items:
        if item.nodeid in known:
            item.add_marker(
                pytest.mark.xfail(reason=known[item.nodeid], strict=False)
            )
