#!/usr/bin/env bash
# Builds the stand-ins of the cases: Python, so it only compiles them.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q standins
