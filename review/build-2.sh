#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, which need only Python's standard library.
# The programs under test come from the build of the deploy file.
set -e
cd "$(dirname "$0")"
exec python3 -m compileall -q rig2 6 7 8 9 10
