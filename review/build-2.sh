#!/bin/sh
# Checks that the stand-ins of the second review can run: they are Python
# scripts that need only the standard library, so nothing has to be compiled.
set -eu
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 -c '
import sys
sys.path.insert(0, "lib-2")
import standins
'
echo 'stand-ins of the second review: ready'
