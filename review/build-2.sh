#!/usr/bin/env bash
# Builds the stand-ins of the second review: Python files without libraries.
cd "$(dirname "$0")/.." && exec python3 -m compileall -q review/standins2
