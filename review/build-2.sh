#!/usr/bin/env bash
# Builds what the cases of review/4 to review/8 start besides the program: their stand-ins, which are Python files
# of the standard library alone. Nothing has to be compiled; this only checks that an interpreter can read them.
set -euo pipefail
cd "$(dirname "$0")"
python3 - harness2/*.py [4-8]/*.py <<'CHECK'
import sys
if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or newer is needed")
for path in sys.argv[1:]:
    with open(path) as file:
        compile(file.read(), path, "exec")
CHECK
echo "the stand-ins can be read"
