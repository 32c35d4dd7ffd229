#!/usr/bin/env bash
# A short run of the fault soak with fixed seeds and all kinds of faults, and with one seed of
# each cause that failed.
set -uo pipefail
source_dir=${DP_SOURCE_DIR:-$(cd "$(dirname "$0")/.." && pwd)}
export DP_BINARY_DIR=${DP_BINARY_DIR:-$source_dir/build}
exec "$source_dir/test/hosted/soak.py" --first 1 --seeds 3 --seconds 15 --regressions 8 --jobs 3
