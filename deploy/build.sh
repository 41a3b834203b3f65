#!/bin/sh
# Build what runs on the platform, all of it under target/: dependencies, then our own packages
# beside them, compiled, so that no start of a process has to compile anything.
set -eu
cd "$(dirname "$0")/.."

stamp=target/deps/.requirements
mkdir -p target/deps
if ! cmp -s deploy/requirements.txt "$stamp"; then
    python3 -m pip install --quiet --disable-pip-version-check --upgrade \
        --target target/deps -r deploy/requirements.txt
    cp deploy/requirements.txt "$stamp"
fi
rm -rf target/deps/lacewinggw target/deps/lacewinggw_platform
cp -r src/lacewinggw platform/lacewinggw_platform target/deps/
python3 -m compileall -q target/deps
