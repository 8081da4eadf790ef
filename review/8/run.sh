#!/bin/sh
# Plays the case; TROUBLE=0 leaves the disruption out.
exec python3 -S "$(dirname "$0")/case.py"
