#!/bin/sh
# Build the stand-ins and clients of the cases of the second review: plain Python, compiled here so
# that no start of a case has to. The processes under test come from the build of the deploy file.
set -eu
cd "$(dirname "$0")"
for folder in 4 5 6; do
    [ -d "$folder" ] && python3 -m compileall -q "$folder"
done
exit 0
