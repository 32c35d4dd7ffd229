#!/usr/bin/env bash
# Real processes on loopback addresses: a manual whose packets pass three balancers, one of
# which is killed during the download, reports that are acted on exactly once meanwhile, and
# packets for one service that reach a companion of another.
# Guards against: flows that depend on a balancer's state, corrupted or cut answers, reports
# lost or repeated by retransmission, and delivery to a wrong service.
set -uo pipefail
cd "$(dirname "$0")/.."
# shellcheck source=test/deployment.sh
. test/deployment.sh

manual_bytes=20000000
n_reports=200
# XXH64 of the services' names: docs/design.md, section 5.1.
darbnica_id=c8dfa3de25cd2c5d
rokasgramata_id=23c7f1a6f3a40aea

fabric_stat() { # JQ_FILTER
  curl --noproxy '*' --silent --max-time 5 "http://$fabric_http/stats" | jq "$1"
}

# Prints how many packets for another service the companion dropped.
stray_packets() { # COMPANION
  curl --noproxy '*' --silent --max-time 5 "http://${host_ip[$1]}:$http_port/metrics" |
    awk '/^dogwoodpaddle_faults_total{kind="wrong service"}/ { print $NF }'
}

check_manual_while_a_balancer_dies() {
  local flows expected
  flows=$(fabric_stat .over_3_balancers)
  start_process_ manual curl --noproxy '*' --silent --fail --max-time 40 --limit-rate 5M \
    "http://$manuals_address/manuals/$manual_bytes" -o "$deploy_dir/manual"
  wait_for 10 "the manual's packets pass three balancers" passes_three_balancers "$flows"
  start_reports
  kill_process balancer-2
  progress "killed balancer-2 after $(stat -c %s "$deploy_dir/manual") bytes"
  wait_for 40 "the download ends" has_ended manual
  wait "${process_pid[manual]}" || fail "the download failed with curl's status $?"
  expected=$(curl --noproxy '*' --silent --max-time 20 \
    "http://$(server_address rokasgramata-1)/manuals/$manual_bytes" | sha256sum)
  [ "$(sha256sum <"$deploy_dir/manual")" = "$expected" ] || fail "the manual differs"
  progress "the manual is whole"
}

passes_three_balancers() {
  [ "$(fabric_stat .over_3_balancers)" -gt "$1" ]
}

start_reports() {
  seq "$n_reports" >"$deploy_dir/ids"
  start_process_ reports xargs -a "$deploy_dir/ids" -P 8 -I{} curl --noproxy '*' --silent \
    --fail --max-time 30 -d '{"id":"r{}"}' "http://$reports_address/reports"
}

check_reports() {
  local name counts
  wait_for 40 "the reports are sent" has_ended reports
  wait "${process_pid[reports]}" || fail "a report was not answered"
  counts=$(for name in "${servers[@]}"; do
    curl --noproxy '*' --silent --max-time 5 "http://$(server_address "$name")/admin/reports"
  done | jq -cs 'map(to_entries[]) | {n: length, ids: (map(.key) | unique | length),
    once: (map(select(.value == 1)) | length)}')
  [ "$counts" = "{\"n\":$n_reports,\"ids\":$n_reports,\"once\":$n_reports}" ] ||
    fail "reports were not acted on exactly once: $counts"
  progress "$n_reports reports were acted on once each"
}

# Sends a SYN straight to a companion, with a header as another service's balancer would.
send_stray_packet() { # COMPANION SERVICE_ID DESTINATION_IP
  python3 - "${host_ip[$1]}" "$data_port" "$2" "$3" <<'PYTHON'
import socket, struct, sys
ip, port, service, destination = sys.argv[1:]
def checksum(data):
    total = sum(struct.unpack(f"!{len(data) // 2}H", data))
    while total >> 16:
        total = (total & 0xffff) + (total >> 16)
    return ~total & 0xffff
src, dst = socket.inet_aton("198.51.100.7"), socket.inet_aton(destination)
def tcp(check):
    return struct.pack("!HHIIBBHHH", 9999, 80, 1, 0, 0x50, 0x02, 8192, check, 0)
def ipv4(check):
    return struct.pack("!BBHHHBBH", 0x45, 0, 40, 1, 0, 64, 6, check) + src + dst
segment = tcp(checksum(src + dst + struct.pack("!HH", 6, 20) + tcp(0)))
# msgpack: [1, service, revision 1, reply IP, reply port, trace 0, flags 0, [], 0, 0]
header = (b"\x9a\x01\xcf" + struct.pack("!Q", int(service, 16)) + b"\x01\xce\x7f\x00\x00\x01"
          + b"\xcd" + struct.pack("!H", 9) + b"\x00\x00\x90\x00\x00")
s = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
s.sendto(header + ipv4(checksum(ipv4(0))) + segment, (ip, int(port)))
PYTHON
}

# The service id of one service with the other one's address, and the reverse.
check_stray_packets() {
  local companion=rokasgramata-1 before
  before=$(stray_packets "$companion")
  [ "$before" -eq 0 ] || fail "$before packets reached a wrong service"
  send_stray_packet "$companion" "$darbnica_id" 10.77.0.2
  send_stray_packet "$companion" "$rokasgramata_id" 10.77.0.1
  wait_for 5 "both stray packets are counted" has_stray_packets "$companion" 2
  progress "packets for another service were dropped"
}

has_stray_packets() {
  [ "$(stray_packets "$1")" -eq "$2" ]
}

# One flow in 20 is traced: each hop of such a flow logs a span with the same trace id.
check_spans() {
  local id
  for id in $(spans fabric "$deploy_dir/fabric.log" | sort -u); do
    spans balancer "$deploy_dir"/balancer-*.log | grep -qx "$id" || continue
    spans companion "${companion_logs[@]}" | grep -qx "$id" || continue
    spans server "${companion_logs[@]}" | grep -qx "$id" || continue
    progress "flow $id has a span of each hop"
    return
  done
  fail "no flow has a span of each hop"
}

spans() { # HOP LOG...
  local hop=$1
  shift
  grep -h '^{' "$@" | jq -rR --arg hop "$hop" \
    'fromjson? | select(.hop == $hop) | .trace_id'
}

deployment_init 58
association_hosts 3 1
start_association --delay-ms 1 --seed 2 --trace-sample 20
companion_logs=()
for name in "${servers[@]}"; do
  companion_logs+=("$deploy_dir/$name.log")
done
progress "every service address answers"
check_manual_while_a_balancer_dies
check_reports
check_stray_packets
check_spans
for name in "${balancers[@]}" "${servers[@]}"; do
  [ "$name" = balancer-2 ] || is_running "$name" || fail "$name ended by itself"
done
progress "passed"
