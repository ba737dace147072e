#!/bin/sh
# Builds what the scripts of review/4 to review/8 start beside the daemons of the deploy file: their
# stand-ins are Python (3.11 or newer, its standard library alone), so they are only checked here.
cd "$(dirname "$0")" || exit 2
exec python3 - standin-2/*.py [4-8]/*.py <<'PYTHON'
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or newer is needed")
for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as source:
        compile(source.read(), name, "exec")
PYTHON
