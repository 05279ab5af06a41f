#!/bin/bash
# Checks the stand-ins of this review, which are Python programs and need no build.
cd "$(dirname "$0")/.." || exit 1
exec python3 -B -c 'import ast, sys
for name in sys.argv[1:]:
    ast.parse(open(name).read(), name)' review/standins-2/*.py review/[4-8]/*.py
