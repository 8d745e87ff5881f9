#!/bin/sh
# Compiles the stand-ins of the third review; they need nothing but Python and the deployed build.
set -eu
cd "$(dirname "$0")/.."
test -d target/deps/citronrack || sh deploy/build.sh
python3 -m compileall -q review/parts2.py review/11
