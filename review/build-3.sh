#!/usr/bin/env bash
# Builds the stand-ins of cases 11 to 15, which use the standard library only.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review/standins3
