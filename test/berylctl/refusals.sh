#!/usr/bin/env bash
# Fails if docs/OPERATING.md doesn't explain a problem type that the code can send.
# usage: refusals.sh ROOT
cd "$1" || exit 2
types=$(grep -rhoE "\{ ?[45][0-9]{2}, *\"[a-z-]+\"|badRequest\(\"[a-z-]+\"" lib/Router lib/Idempotency lib/Net \
    | grep -oE "\"[a-z-]+\"" | sort -u)
[ -n "$types" ] || { echo "no problem type was found in the code"; exit 1; }
failed=0
for type in $types; do
    grep -q "\`${type//\"/}\`" docs/OPERATING.md || { echo "$type is not explained"; failed=1; }
done
echo "$(wc -w <<<"$types") problem types were looked up"
exit $failed
