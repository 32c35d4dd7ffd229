#!/usr/bin/env bash
# Loss, delay, duplication and reordering of packets in the fabric. Guards against flows
# that need packets in order or once only, and reports that a duplicated packet runs twice.
set -uo pipefail
cd "$(dirname "$0")/.."
# shellcheck source=test/deployment.sh
. test/deployment.sh

deployment_init 100
association_hosts 4 3
start_association --delay-ms 1 --jitter-ms 3 --loss 0.005 --duplicate 0.02 --reorder 0.02 \
  --seed 7
progress "started"
# TCP without selective acknowledgements gets about 0.5 MB a second through these faults.
manual_bytes=10000000
manual_hash=af6458a793ab24cbf10945f9db93373ca04257366340d718ee31214dc4909552
start_download download-1
start_download download-2
start_load --rate 60 --seconds 12
expect_load
expect_download download-1
expect_download download-2
for fault in lost duplicated reordered; do
  count=$(curl --noproxy '*' --silent --max-time 5 "http://$fabric_http/stats" |
    jq ".$fault")
  [ "$count" -gt 50 ] || fail "$count packets were $fault"
  progress "$count packets were $fault"
done
progress "passed"
