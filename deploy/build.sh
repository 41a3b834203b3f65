#!/bin/sh
# Build what runs on the platform, all of it under target/: dependencies, and our own packages
# beside them, compiled, so that no start of a process has to compile anything.
#
# A build lies in a folder of its own, named after what it is made of, and target/deps is a link to
# the newest one. Processes may start while a build runs, and one may be cut off midway: until the
# link is changed, in one step, they find the build before, and what is built already stays as it is.
set -eu
cd "$(dirname "$0")/.."

KEPT=3 # builds: processes of earlier ones may still be running, and import from them

digest_of() {
    find "$@" -type f ! -path '*/__pycache__/*' -print0 | LC_ALL=C sort -z |
        xargs -0 sha256sum | sha256sum | cut -c 1-16
}

# Fill $1 from nothing, beside where it is to be; only the whole of it gets its name.
build_once() {
    [ -d "$1" ] && return
    rm -rf "$1.$$"
    mkdir -p "$1.$$"
    "$2" "$1.$$"
    mv -T "$1.$$" "$1" 2>/dev/null || rm -rf "$1.$$" # another build was first
}

install_dependencies() {
    python3 -m pip install --quiet --disable-pip-version-check --target "$1" \
        -r deploy/requirements.txt
}

copy_packages() {
    cp -r "$dependencies/." src/lacewinggw platform/lacewinggw_platform "$1/"
    python3 -m compileall -q "$1"
}

mkdir -p target/builds
dependencies="target/builds/dependencies-$(digest_of deploy/requirements.txt)"
build="target/builds/$(digest_of deploy/requirements.txt src/lacewinggw platform/lacewinggw_platform)"
build_once "$dependencies" install_dependencies
build_once "$build" copy_packages
touch "$build"

if [ "$(readlink target/deps || true)" != "${build#target/}" ]; then
    [ -L target/deps ] || rm -rf target/deps # from before there were builds
    ln -s "${build#target/}" "target/deps.$$"
    mv -T "target/deps.$$" target/deps
fi

# shellcheck disable=SC2012 # names of builds are hexadecimal
ls -dt target/builds/[0-9a-f]* | grep -v '\.[0-9]*$' | grep -v dependencies |
    tail -n "+$((KEPT + 1))" | xargs -r rm -rf
