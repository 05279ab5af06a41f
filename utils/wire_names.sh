#!/usr/bin/env bash
# Fails where the users' platform is named outside its adapter: its names must be decoded once.
source "$(dirname "$0")/common.sh"
cd "$root"
names='berylridge/kv-|Replica-Seal|Expect-Replica|Kv-Retain|Kv-From|Prefix-Hash|Token-Count|Not-Run|op/evacuate|kv_cap_tokens|api_keys|slo_ms|can_resume'
if git grep -nE "$names" -- include lib tools benchmarks test; then
    echo "the platform's names stand outside platform/"
    exit 1
fi
echo "wire names: only in platform/"
