#!/usr/bin/env bash
# Runs the sessions of berylctl under cases/: each is a folder with `session` (shell lines), `expected`
# (what they print, with exit statuses) and input files. With --update, writes what was printed into
# `expected` instead of comparing; nothing else updates them.
# usage: golden.sh BERYLCTL [--update] [CASE...]
set -uo pipefail
export BERYLCTL=$1
shift
update=no
if [ "${1:-}" = --update ]; then update=yes; shift; fi
COMPLETIONS=$(cd "$(dirname "$0")/../../utils/completions" && pwd)
export COMPLETIONS
cases=$(cd "$(dirname "$0")/cases" && pwd)
if [ $# -eq 0 ]; then set -- $(ls "$cases"); fi
berylctl() { "$BERYLCTL" "$@"; }
export -f berylctl
failed=0
for name in "$@"; do
    work=$(mktemp -d)
    cp -r "$cases/$name/." "$work"
    (
        cd "$work" || exit 1
        while IFS= read -r line || [ -n "$line" ]; do
            printf '$ %s\n' "$line"
            bash -c "$line" 2>&1
            status=$?
            [ $status -eq 0 ] || printf '[status %s]\n' "$status"
        done < session
    ) < /dev/null > "$work/.printed"
    if [ $update = yes ]; then
        cp "$work/.printed" "$cases/$name/expected"
        echo "$name: updated"
    elif diff -u "$cases/$name/expected" "$work/.printed"; then
        echo "$name: as expected"
    else
        echo "$name: differs"
        failed=1
    fi
    rm -rf "$work"
done
exit $failed
