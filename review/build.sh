#!/bin/sh
# Builds the stand-ins. They need Python's standard library only.
cd "$(dirname "$0")" || exit 2
python3 -m compileall -q standins 1 2 3 4 5
