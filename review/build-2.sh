#!/bin/sh
# Builds the stand-ins of the cases 4 to 8: modules of the standard library's Python only.
set -e
cd "$(dirname "$0")"
python3 -m compileall -q standins_2 4 5 6 7 8
