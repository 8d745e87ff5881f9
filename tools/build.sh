#!/usr/bin/env bash
# Builds the one-file program: tools/build.sh OUT
set -euo pipefail
cd "$(dirname "$0")/.."
shiv --compressed --console-script citronrack --output-file "$1" --constraint requirements.txt . \
    > /dev/null
