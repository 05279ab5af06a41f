#!/usr/bin/env bash
# Runs the sessions under cases/, which call berylctl, and berylridged without starting a router.
# Each is a folder with `session` (shell lines), `expected` (their output with exit statuses) and
# input files. With --update, writes the output into `expected` instead of comparing; nothing else
# changes these files.
# usage: golden.sh FOLDER-OF-PROGRAMS [--update] [CASE...]
set -uo pipefail
export PROGRAMS=$1
shift
update=no
if [ "${1:-}" = --update ]; then update=yes; shift; fi
here=$(cd "$(dirname "$0")" && pwd)
cases=$here/cases
export COMPLETIONS=$here/../../utils/completions
export USER=lan
if [ $# -eq 0 ]; then set -- $(ls "$cases"); fi

berylctl() { "$PROGRAMS/berylctl" "$@"; }
berylridged() { "$PROGRAMS/berylridged" "$@"; }

# Runs a line while two fake routers serve at $A and $B; their addresses are printed as [A] and [B].
with_routers() {
    local ports line status
    coproc routers { exec "$PROGRAMS/fake_routers"; }
    read -r -u "${routers[0]}" ports
    export A=127.0.0.1:${ports% *} B=127.0.0.1:${ports#* }
    export BERYLRIDGE_OPERATORS_KEY="operators' key of the sessions"
    eval "$1" 2>&1 | sed "s/$A/[A]/g; s/$B/[B]/g"
    status=${PIPESTATUS[0]}
    kill "$routers_PID"
    wait "$routers_PID" 2>/dev/null
    return "$status"
}
export -f berylctl berylridged with_routers

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
