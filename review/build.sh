#!/usr/bin/env bash
# The stand-ins of the cases are plain JavaScript without dependencies, so there is nothing to compile: this checks them.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins/*.mjs */case.mjs; do
    node --check "$file"
done
