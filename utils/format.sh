#!/usr/bin/env bash
# Formats the tree. With --check, only reports the files that differ.
source "$(dirname "$0")/common.sh"
cd "$root"
files=$(git ls-files --cached --others --exclude-standard '*.cpp' '*.h')
if [ "${1:-}" = --check ]; then
    clang-format --dry-run --Werror $files
else
    clang-format -i $files
fi
