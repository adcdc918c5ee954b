#!/usr/bin/env bash
# The stand-ins need the standard library only; this checks that they compile.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review
