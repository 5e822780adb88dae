#!/bin/bash
# Checks that the stand-ins can be run. They need no build: they are Python
# programs that use the standard library only.
set -eu
cd "$(dirname "$0")"
python3 - <<'PY'
import glob
import sys
if sys.version_info < (3, 11):
    sys.exit('the stand-ins need Python 3.11 or later')
for path in sorted(glob.glob('lib/*.py') + glob.glob('[0-9]/*.py')):
    with open(path, encoding='utf-8') as source:
        compile(source.read(), path, 'exec')
    print('ok', path)
PY
