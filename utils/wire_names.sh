#!/usr/bin/env bash
# Fails if names of the users' platform are used outside its adapter, which alone decodes them.
source "$(dirname "$0")/common.sh"
cd "$root"
names='berylridge/kv-|Replica-Seal|Expect-Replica|Kv-Retain|Kv-From|Prefix-Hash|Token-Count|Not-Run|op/evacuate|kv_cap_tokens|api_keys|slo_ms|can_resume|Server-Leaving|"Resumes"'
if git grep -nE "$names" -- include lib tools benchmarks test; then
    echo "names of the platform are used outside platform/"
    exit 1
fi
echo "wire names: only in platform/"
