#!/usr/bin/env bash
# Runs clang-tidy over the given files, or over every source file of the tree, in parallel. Skips a
# file that passed before with the same source, included headers and checks. The stamp files are
# kept outside the clone.
source "$(dirname "$0")/common.sh"
cd "$root"
configure
stamps=${BERYLRIDGE_LINT_CACHE:-${XDG_CACHE_HOME:-$HOME/.cache}/berylridge/lint}
mkdir -p "$stamps"
export build stamps
lint_one() {
    local file=$1 stamp
    stamp=$stamps/$( (cat .clang-tidy "$file"; python3 utils/lint_inputs.py "$build" "$file") | sha256sum | cut -c1-32)
    [ -e "$stamp" ] && return 0
    if clang-tidy -p "$build" --quiet "$file" 2>/dev/null; then
        : > "$stamp"
    else
        echo "lint: $file failed"
        return 1
    fi
}
export -f lint_one
if [ $# -gt 0 ]; then files=("$@"); else mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.cpp'); fi
printf '%s\n' "${files[@]}" | xargs -P "$jobs" -I{} bash -c 'lint_one {}'
echo "lint: ${#files[@]} files clean"
