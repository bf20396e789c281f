#!/usr/bin/env bash
# The stand-ins of the cases 6 to 10 are one Python file that needs no build and no package.
# Checks that this Python can run it.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B -c 'import sys; assert sys.version_info >= (3, 11), "Python 3.11 or later is needed"'
python3 -B -c 'import standin2'
for case in [0-9]*/case.py; do
  python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$case"
done
