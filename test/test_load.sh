#!/usr/bin/env bash
# Runs the load generator straight against backend servers with deliberate faults. Guards
# against a load generator that reports no fault because it can't see one.
set -uo pipefail
cd "$(dirname "$0")/.."
# shellcheck source=test/deployment.sh
. test/deployment.sh

deployment_init 50
add_server good riga-a "127.$net.1.11" darbnica 8
add_server faulty riga-a "127.$net.1.12" darbnica 8
add_server other riga-a "127.$net.1.13" rokasgramata 8
for name in "${servers[@]}"; do
  start_process_ "$name" "$bin/standin-backend" --name "$name" --slots 8 \
    --listen "$(server_address "$name")" --service "${host_service[$name]}"
  wait_for 10 "$name answers" fetch "http://$(server_address "$name")/health"
done

# load JOBS_SERVER REPORTS_SERVER MANUALS_SERVER EXPECTED_FILTER
load() {
  local result
  "$bin/standin-load" --target "jobs:darbnica=$(server_address "$1")" \
    --target "reports:darbnica=$(server_address "$2")" --rate 200 --seconds 1 --reuse 100 \
    --target "manuals:darbnica=$(server_address "$3")" --verify "$(server_addresses)" \
    --manual-bytes 100000 >"$deploy_dir/result" 2>/dev/null
  echo "{\"status\":$?}" >>"$deploy_dir/result"
  result=$(jq -cs add "$deploy_dir/result")
  jq -e "$4" <<<"$result" >/dev/null || fail "not $4: $result"
  progress "$4"
}

# behave SERVER JSON
behave() {
  curl --noproxy '*' --silent --fail --max-time 5 -X PUT -d "$2" \
    "http://$(server_address "$1")/admin/behaviour" >/dev/null || fail "behaviour of $1"
}

load good good good '.status == 0 and .ok == .requests and .requests > 100'
load good good other '.status == 1 and .misdelivered > 0 and .broken == 0'
behave faulty '{"fault":"double"}'
load good faulty good '.status == 1 and .doubled > 0 and .lost == 0'
behave faulty '{"fault":"forget"}'
load good faulty good '.status == 1 and .lost > 0 and .doubled == 0'
behave faulty '{"fault":"corrupt"}'
load good good faulty '.status == 1 and .broken > 0 and .misdelivered == 0'
behave faulty '{"shed_percent":50}'
load good faulty good '.status == 0 and .refused > 0 and .broken == 0'
# A server that dies during a run: its connections are broken, later ones refused.
behave faulty '{"delay_ms":300}'
(sleep 0.6 && kill -KILL "${process_pid[faulty]}") &
servers=(good)
load faulty good good '.status == 1 and .broken > 0 and .refused > 0'
progress "passed"
