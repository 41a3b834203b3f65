#!/bin/sh
# Build what runs on the platform, all of it under target/: dependencies, and our own packages
# beside them, compiled, so that no start of a process has to compile anything.
#
# A build lies in a folder of its own, named after what it is made of and the Python that it is made
# for, and target/deps is a link to the newest one. Processes may start while a build runs, and one
# may be cut off midway: until the link is changed, in one step, they find the build before, and
# what is built already stays as it is. The link is only changed to a build that can be imported.
set -eu
cd "$(dirname "$0")/.."

KEPT=3 # builds: processes of earlier ones may still be running, and import from them

# The native code of dependencies is loaded only by this version of Python on this kind of machine.
PYTHON_ABI="$(python3 -c 'import sysconfig; print(sysconfig.get_config_var("SOABI"))')"

digest_of() {
    { echo "$PYTHON_ABI" && find "$@" -type f ! -path '*/__pycache__/*' -print0 |
        LC_ALL=C sort -z | xargs -0 sha256sum; } | sha256sum | cut -c 1-16
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

build_all() {
    build_once "$dependencies" install_dependencies
    build_once "$build" copy_packages
}

can_be_imported() {
    PYTHONPATH="$build" python3 -B -c 'import lacewinggw_platform.agent, lacewinggw_platform.entry'
}

mkdir -p target/builds
dependencies="target/builds/dependencies-$(digest_of deploy/requirements.txt)"
build="target/builds/$(digest_of deploy/requirements.txt src/lacewinggw platform/lacewinggw_platform)"
is_new=false
[ -d "$dependencies" ] || is_new=true
build_all
if ! "$is_new" && ! can_be_imported 2>/dev/null; then
    echo "deploy/build.sh: the kept build cannot be imported, so it is made again" >&2
    rm -rf "$dependencies" "$build"
    build_all
fi
if ! can_be_imported; then
    rm -rf "$build"
    echo "deploy/build.sh: the build cannot be imported by python3 ($PYTHON_ABI)" >&2
    exit 1
fi
touch "$build"

if [ "$(readlink target/deps || true)" != "${build#target/}" ]; then
    [ -L target/deps ] || rm -rf target/deps # from before there were builds
    ln -s "${build#target/}" "target/deps.$$"
    mv -T "target/deps.$$" target/deps
fi

# The linked build stays whatever its time is: clocks of the machines that kept folders differ.
# shellcheck disable=SC2012 # names of builds are hexadecimal
ls -dt target/builds/[0-9a-f]* | grep -v '\.[0-9]*$' | grep -v -e dependencies -e "$build" |
    tail -n "+$KEPT" | xargs -r rm -rf
