#!/bin/bash
# The stand-ins are Python 3 without packages; there is nothing to compile. Checks that they load.
cd "$(dirname "$0")" || exit 1
PYTHONDONTWRITEBYTECODE=1 python3 -c 'import sys; sys.path.insert(0, "standins"); import fleet'
