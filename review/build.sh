#!/bin/sh
# Prepares the stand-ins of the cases. They are Python programs without dependencies, so there is nothing to compile:
# this checks that a Python is here and that it can read them. The node is built by the command of the deploy file.
cd "$(dirname "$0")" || exit 1
for python in python3 /usr/bin/python3; do
    if "$python" -c 'import sys; sys.exit(sys.version_info < (3, 8))' 2>/dev/null; then
        exec "$python" -B -c '
import ast, sys
for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as file:
        ast.parse(file.read(), name)
print("the stand-ins are ready")
' standins/*.py [0-9]*/case.py
    fi
done
echo "no Python 3.8 or later"
exit 1
