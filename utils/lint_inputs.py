"""Prints a source file and the project headers that it includes, directly or indirectly.

utils/lint.sh hashes this output to decide whether a file must be linted again.
"""
import os
import re
import sys

INCLUDE = re.compile(r'^\s*#\s*include\s*"([^"]+)"', re.M)
root = os.getcwd()
seen = set()


def visit(path):
    """Prints the file and, once each, the files that it includes with quotes."""
    if path in seen or not os.path.exists(path):
        return
    seen.add(path)
    with open(path, encoding="utf-8") as source:
        text = source.read()
    print(os.path.relpath(path, root))
    print(text)
    for name in INCLUDE.findall(text):
        for folder in (os.path.join(root, "include"), os.path.dirname(path),
                       os.path.join(root, "unittests"), os.path.join(root, "test")):
            visit(os.path.normpath(os.path.join(folder, name)))


visit(os.path.abspath(sys.argv[2]))
