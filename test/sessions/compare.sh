#!/usr/bin/env bash
# Replays each trace under test/traces and compares the session with its golden file and the counts
# with those that the trace expects. With --update, writes the golden files instead.
# Usage: compare.sh BERYLREPLAY [--update]
set -euo pipefail
replay=$(readlink -f "$1")
cd "$(dirname "$0")/.."
status=0
for trace in traces/*.jsonl; do
    golden=golden/$(basename "$trace" .jsonl).txt
    if [ "${2:-}" = --update ]; then
        "$replay" --charts ../charts "$trace" >"$golden"
        continue
    fi
    if ! "$replay" --charts ../charts "$trace" | diff -u "$golden" -; then
        echo "$trace: the session or its counts differ from the expected ones"
        status=1
    fi
done
exit $status
