#!/bin/sh
# Plays the case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. Needs the build of the deploy file and Python 3.8 or later.
cd "$(dirname "$0")" || exit 2
for python in python3 /usr/bin/python3; do
    if "$python" -c 'import sys; sys.exit(sys.version_info < (3, 8))' 2>/dev/null; then
        exec "$python" -B case.py
    fi
done
echo "the case could not run: no Python 3.8 or later"
exit 2
