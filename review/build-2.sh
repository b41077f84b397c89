#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6 to 10 start. They use only the
# standard library, so that compiling them is all there is to do. The deploy file's
# build has to run first: it fills target/deps, with which entries are started.
set -eu
cd "$(dirname "$0")/.."
test -d target/deps/chicorycove || {
    echo "target/deps is missing: run the line build of deploy/system.toml" >&2
    exit 1
}
python3 -m compileall -q review/standins2 >/dev/null
