#!/usr/bin/env bash
# Prepares the stand-ins of the scripts in this folder. They are written in Python, with its
# standard library only, so this checks that the interpreter can run them.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'CHECK'
import ast, glob, sys
assert sys.version_info >= (3, 11), "Python 3.11 or newer is needed"
for path in ["standin.py", *glob.glob("*/case.py")]:
    ast.parse(open(path).read(), path)
CHECK
echo "the stand-ins are ready"
