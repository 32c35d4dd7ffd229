#!/usr/bin/env bash
# Kills each balancer with SIGKILL and starts it again, one after the other, under load and
# downloads. Guards against flow state in a balancer: a download that breaks, a report that
# is run twice, or one that is answered ok but lost.
set -uo pipefail
cd "$(dirname "$0")/.."
# shellcheck source=test/deployment.sh
. test/deployment.sh

deployment_init 100
association_hosts 4 3
start_association --delay-ms 1 --seed 1
progress "started"
for name in download-1 download-2 download-3; do
  start_download "$name"
done
start_load --rate 100 --seconds 18
for name in "${balancers[@]}"; do
  packets=$(packets_to "$name")
  wait_for 10 "$name gets packets" packets_above "$name" $((packets + 100))
  kill_and_restart "$name" start_balancer
  progress "killed and restarted $name"
  wait_for 10 "$name is ready" is_ready "$name"
  packets=$(packets_to "$name")
  wait_for 10 "$name gets packets again" packets_above "$name" $((packets + 100))
done
is_running download-1 && is_running load || fail "the load ended before the last restart"
for name in download-1 download-2 download-3; do
  expect_download "$name"
done
expect_load
progress "passed"
