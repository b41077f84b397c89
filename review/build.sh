#!/usr/bin/env bash
# Builds the stand-ins of the cases: Python files of the standard library only.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
python3 -m compileall -q -f .
