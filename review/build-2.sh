#!/bin/sh
# Compiles the stand-ins of the second review; they need nothing but Python and the deployed build.
set -eu
cd "$(dirname "$0")/.."
test -d target/deps/citronrack || sh deploy/build.sh
python3 -m compileall -q review/parts2.py
for case in review/6 review/7 review/8 review/9 review/10; do
    if [ -d "$case" ]; then python3 -m compileall -q "$case"; fi
done
