#!/usr/bin/env bash
# Formats the tree; with --check only says which files differ.
source "$(dirname "$0")/common.sh"
cd "$root"
files=$(git ls-files --cached --others --exclude-standard '*.cpp' '*.h')
if [ "${1:-}" = --check ]; then
    clang-format --dry-run --Werror $files
else
    clang-format -i $files
fi
