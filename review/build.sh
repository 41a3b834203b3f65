#!/bin/sh
# Builds the stand-ins of the cases: they need no more than Python's standard library.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q -f lib
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
