#!/bin/sh
# Builds the stand-ins that the scripts of review/11 to review/15 start: programs
# in Python that need only the standard library. The entry processes are built by
# the build of the deploy file.
cd "$(dirname "$0")" || exit 1
exec python3 -m compileall -q standins3.py 1[1-5]
