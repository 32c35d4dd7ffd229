#!/usr/bin/env bash
# Prepares what the scripts of the third review start, after the build of the deploy file. Their
# stand-ins are Python programs (test/hosted/standins.py, review/common_3.py and the cases), so
# there is nothing to compile; this checks that all of them can be read.
set -euo pipefail
cd "$(dirname "$0")/.."
test -x target/dogwoodpaddle-platform
for file in test/hosted/standins.py review/common_3.py review/dropped_route_3.py review/1[1-5]/case.py; do
  [ -e "$file" ] || continue
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
