#!/bin/sh
# Builds every stand-in that a case starts. They are Python programs: this checks that they
# compile and that the system's own program has been built.
set -e
cd "$(dirname "$0")/.."
test -x target/dogwoodpaddle-platform || { echo "target/dogwoodpaddle-platform is missing"; exit 1; }
PYTHONDONTWRITEBYTECODE=1 python3 - review/common.py review/*/case.py test/hosted/standins.py <<'PY'
import sys
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
PY
echo "stand-ins are ready"
