#!/usr/bin/env bash
# Prepares the stand-ins of the cases from 11 on. They are plain JavaScript without dependencies, so that there is nothing
# to compile; the syntax of each file is checked.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins-3/*.mjs 1[1-5]/*.mjs; do
    node --check "$file"
done
