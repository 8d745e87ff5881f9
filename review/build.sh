#!/bin/sh
# The stand-ins of the scripts use the standard library only; this checks that they compile.
set -eu
cd "$(dirname "$0")"
python3 - <<'END'
import pathlib

for path in sorted(pathlib.Path().rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
END
