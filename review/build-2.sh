#!/usr/bin/env bash
# Prepares the cases 6 and later, after the build of the deploy file: their stand-ins are plain JavaScript in standins-2 and use
# no package, so they are only checked.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins-2/*.mjs {6,7,8,9,10}/case.mjs; do
    [ -e "$file" ] && node --check "$file"
done
[ -e ../target/tamarackd.cjs ] || { echo "target/tamarackd.cjs is missing: run the build of deploy/system.toml first" >&2; exit 1; }
