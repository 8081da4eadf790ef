#!/bin/sh
# Builds the stand-ins that the scripts of review/9 to review/13 start, into target/review-3.
# Needs no network and no packages beside those that the deploy file builds into target/deps.
set -e
cd "$(dirname "$0")/.."
test -d target/deps/gapdrum || { echo "run the build of deploy/system.toml first" >&2; exit 2; }
rm -rf target/review-3
mkdir -p target/review-3
cp -r src/gapdrum_standins target/review-3/gapdrum_standins
cp review/harness-3/standin.py target/review-3/standin.py
python3 -m compileall -q target/review-3
