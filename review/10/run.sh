#!/usr/bin/env bash
# Case 10; see claim.txt. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
PYTHONDONTWRITEBYTECODE=1 exec timeout 110 python3 case.py
