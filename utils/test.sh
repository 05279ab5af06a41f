#!/usr/bin/env bash
# Builds everything and runs all tests. Arguments go to ctest. BERYLRIDGE_SANITIZE=address,undefined
# (or thread) builds and runs with sanitizers in a separate folder.
source "$(dirname "$0")/common.sh"
sanitize=${BERYLRIDGE_SANITIZE:-}
[ -z "$sanitize" ] || build=${BERYLRIDGE_BUILD:-$root/build-${sanitize//,/-}}
install_packages
build_all -DBERYLRIDGE_SANITIZE="$sanitize"
if [ -s "$root/KNOWN-RED.txt" ] && grep -qv '^#' "$root/KNOWN-RED.txt"; then
    echo "known red (see KNOWN-RED.txt):"
    grep -v '^#' "$root/KNOWN-RED.txt"
    # Skips exactly the tests that the file lists as "gtest SUITE.NAME".
    red=$(grep -v '^#' "$root/KNOWN-RED.txt" | grep -oE 'gtest [A-Za-z0-9_/]+\.[A-Za-z0-9_/]+' | cut -d' ' -f2 | paste -sd: || true)
    # A test with an entry of its own in ctest is run with a filter that overrides the variable.
    [ -z "$red" ] || export GTEST_FILTER="-$red"
    [ -z "$red" ] || set -- -E "^($(printf '%s' "${red//./\\.}" | tr : '|'))\$" "$@"
fi
ctest --test-dir "$build" --output-on-failure -j "${BERYLRIDGE_TEST_JOBS:-4}" "$@"
