#!/usr/bin/env bash
# Runs the case of test_hosted.py in which a server returns an earlier copy of a SYN that
# waits, as a test of its own: KNOWN-RED.txt lists it.
source_dir=${DP_SOURCE_DIR:-$(cd "$(dirname "$0")/.." && pwd)}
exec "$source_dir/test/test_hosted.py" test_waiting_syn_and_older_copy
