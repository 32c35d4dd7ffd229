#!/usr/bin/env bash
# Connections that fall silent for ever: a server that accepts and never answers, a client
# that stops reading, and an idle one. Guards against slots and flows that are never freed
# and clients that wait without end. The timeouts are shortened by an exception.
set -uo pipefail
cd "$(dirname "$0")/.."
# shellcheck source=test/deployment.sh
. test/deployment.sh

deployment_init 90
association_hosts 1 1
start_association --delay-ms 1 --seed 1
progress "started"
host=rokasgramata-1

# is_free: no flow and no slot is in use at the host.
is_free() {
  [ "$(status_of "$host" '"\(.flows) \(.slots_busy)"')" = "0 0" ]
}

holds_slot() {
  [ "$(status_of "$host" .slots_busy)" -gt 0 ]
}

holds_no_slot() {
  [ "$(status_of "$host" .slots_busy)" = 0 ]
}

has_flow() {
  [ "$(status_of "$host" .flows)" -gt 0 ]
}

# expect_told NAME FROM_MS TO_MS REASON: the client's process ends with a failure in this time
# after $began, the slot is free and the reason is counted.
expect_told() {
  local took
  wait_for 20 "$1 is told" has_ended "$1"
  took=$(($(now_ms) - began))
  ! wait "${process_pid[$1]}" || fail "$1 ended without an error"
  [ "$took" -ge "$2" ] && [ "$took" -le "$3" ] || fail "$1 was told after $took ms"
  wait_for 2 "$host is free" is_free
  [ "$(metric_of "$host" "dogwoodpaddle_reasons_total{reason=\"$4\"}")" -gt 0 ] ||
    fail "$4 is not counted"
  progress "$1 was told after $took ms"
}

"$bin/dogwoodpaddle" show --platform "$platform_url" | jq '.exceptions["short-timeouts"] = {
  service: "rokasgramata", host: "", set: {progress_timeout_s: 5, idle_timeout_s: 10},
  reason: "tests"}' >"$deploy_dir/fleet.json"
"$bin/dogwoodpaddle" apply "$deploy_dir/fleet.json" --platform "$platform_url" >&2 ||
  fail "apply failed"
wait_for 5 "the exception is in force" has_revision "$(platform_revision)" "$host"
wait_for 5 "$host is free" is_free

# The server accepts and never answers: progress_timeout_s frees the slot for others,
# idle_timeout_s ends the flow.
fetch -X PUT -d '{"silent":true,"ignore_health":true}' \
  "http://$(server_address "$host")/admin/behaviour" || fail "behaviour of $host"
began=$(now_ms)
start_process_ silent-server curl --noproxy '*' --silent --max-time 30 \
  "http://$manuals_address/manuals/1000"
wait_for 5 "the request holds a slot" holds_slot
wait_for 8 "the slot is free" holds_no_slot
took=$(($(now_ms) - began))
[ "$took" -ge 5000 ] && [ "$took" -le 8000 ] || fail "the slot was free after $took ms"
has_flow && is_running silent-server || fail "the flow ended with its slot"
expect_told silent-server 10000 13000 idle_timeout
fetch -X PUT -d '{}' "http://$(server_address "$host")/admin/behaviour" ||
  fail "behaviour of $host"

# The client stops reading.
start_download silent-client
wait_for 5 "the download has an answer" has_download_server silent-client
signal_process silent-client STOP
began=$(now_ms)
wait_for 20 "the flow of the frozen client is gone" is_free
took=$(($(now_ms) - began))
[ "$took" -ge 5000 ] || fail "the frozen client's flow ended after $took ms"
signal_process silent-client CONT
expect_told silent-client 5000 25000 progress_timeout

# An idle connection.
idle_before=$(metric_of "$host" 'dogwoodpaddle_reasons_total{reason="idle_timeout"}')
began=$(now_ms)
start_process_ idle-client python3 -c '
import socket, sys
host, port = sys.argv[1].split(":")
with socket.create_connection((host, int(port)), timeout=30) as s:
    sys.exit(1 if s.recv(1) == b"" else 0)
' "$manuals_address"
wait_for 5 "the idle connection is accepted" has_flow
expect_told idle-client 10000 13000 idle_timeout
[ "$(metric_of "$host" 'dogwoodpaddle_reasons_total{reason="idle_timeout"}')" -gt \
  "$idle_before" ] || fail "the idle client's timeout is not counted"

wait_for 5 "$manuals_address answers again" fetch "http://$manuals_address/manuals/1000"
progress "passed"
