#!/bin/sh
# Builds the product as the deploy file says. The stand-ins of review/11 to review/15 are
# review/standin3.py, which needs no build and only the standard library of Python 3.8 or later.
set -e
cd "$(dirname "$0")/.."
cargo build --release -p daemon
PYTHONDONTWRITEBYTECODE=1 python3 -c "import sys; sys.path.insert(0, 'review'); import standin3"
