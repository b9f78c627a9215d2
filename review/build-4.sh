#!/bin/sh
# The stand-ins of the cases 16 to 20 are plain modules that need no compilation: checks that they can be read.
set -e
cd "$(dirname "$0")"
for file in standins-4/*.mjs 16/run.mjs 17/run.mjs 18/run.mjs 19/run.mjs 20/run.mjs; do
    node --check "$file"
done
