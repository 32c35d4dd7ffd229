#!/usr/bin/env bash
# Real processes on loopback addresses under floods: SYNs of clients that never complete
# their connection, malformed datagrams, garbage and silent connections to the control and
# HTTP ports. A download and reports go on meanwhile.
# Guards against: processes that end or grow because of bytes from outside, slots and
# connections held by SYNs that never complete, and flows that a flood interrupts.
set -uo pipefail
cd "$(dirname "$0")/.."
# shellcheck source=test/deployment.sh
. test/deployment.sh

growth_max_kb=16384
half_open_max=500 # a quarter of 2,000 connections: docs/design.md, section 2.1
syn_rate=2000     # a second; without the bounds 4 a second fill a server's slots
answer_max_s=1.0  # a job sheet takes 10 ms without a flood
manual_bytes=20000000
n_reports=300
declare -A rss_before=()

# A short time until changes are in force shortens the start.
write_association_fleet_default=$(declare -f write_association_fleet)
eval "${write_association_fleet_default/write_association_fleet/write_default_fleet}"
write_association_fleet() {
  write_default_fleet "$1.default"
  jq '.defaults.settle_ms = 1000' "$1.default" >"$1"
}

resident_kb() { # NAME
  awk '/^VmRSS/ { print $2 }' "/proc/${process_pid[$1]}/status"
}

# Prints the sum of the host's counters whose line matches the pattern.
counted() { # HOST PATTERN
  curl --noproxy '*' --silent --max-time 5 "http://${host_ip[$1]}:$http_port/metrics" |
    awk -v pattern="$2" '$0 ~ pattern && !/^#/ { n += $NF } END { print n + 0 }'
}

half_open() { # COMPANION
  curl --noproxy '*' --silent --max-time 5 "http://${host_ip[$1]}:$http_port/status" |
    jq .half_open
}

# start_flood NAME ARGUMENT...
start_flood() {
  local name=$1
  shift
  start_process_ "$name" python3 test/flood.py "$@"
}

flood_ended() { # NAME
  wait_for 30 "$1 ends" has_ended "$1"
  wait "${process_pid[$1]}" || fail "$1 failed: $(tail -n 1 "$deploy_dir/$1.log")"
  progress "$1: $(cat "$deploy_dir/$1.out")"
}

# answers_soon WHAT CURL_ARGUMENT...: answered within answer_max_s.
answers_soon() {
  local what=$1
  shift
  fetch --max-time "$answer_max_s" "$@" || fail "$what was not answered during the flood"
}

start_traffic() {
  start_process_ manual curl --noproxy '*' --silent --fail --max-time 45 \
    --limit-rate 1200K "http://$manuals_address/manuals/$manual_bytes" -o "$deploy_dir/manual"
  seq "$n_reports" >"$deploy_dir/ids"
  start_process_ reports xargs -a "$deploy_dir/ids" -P 1 -I{} bash -c \
    "sleep 0.03; curl --noproxy '*' --silent --fail --max-time 30 -d '{\"id\":\"r{}\"}' \
    http://$reports_address/reports"
}

check_traffic() {
  local name counts expected
  wait_for 20 "the reports are sent" has_ended reports
  wait "${process_pid[reports]}" || fail "a report was not answered"
  counts=$(for name in "${servers[@]}"; do
    curl --noproxy '*' --silent --max-time 5 "http://$(server_address "$name")/admin/reports"
  done | jq -cs 'map(to_entries[]) | {n: length, ids: (map(.key) | unique | length),
    once: (map(select(.value == 1)) | length)}')
  [ "$counts" = "{\"n\":$n_reports,\"ids\":$n_reports,\"once\":$n_reports}" ] ||
    fail "reports were not acted on exactly once: $counts"
  wait_for 20 "the download ends" has_ended manual
  wait "${process_pid[manual]}" || fail "the download failed with curl's status $?"
  expected=$(curl --noproxy '*' --silent --max-time 20 \
    "http://$(server_address rokasgramata-1)/manuals/$manual_bytes" | sha256sum)
  [ "$(sha256sum <"$deploy_dir/manual")" = "$expected" ] || fail "the manual differs"
  progress "$n_reports reports were acted on once each, the manual is whole"
}

# Clients that never complete their connections to the job sheets.
check_syn_flood() {
  local name most=0 n i
  start_flood syn-flood syns "$syn_rate" 5 10.77.0.1:80 \
    "${host_ip[balancer-1]}:$data_port" "${host_ip[balancer-2]}:$data_port"
  sleep 1.5 # the first second of the flood is not judged
  for i in 1 2 3 4 5 6 7 8; do
    answers_soon "a job sheet" "http://$jobs_address/jobs/$i"
    answers_soon "the reports' health" "http://$reports_address/health"
    answers_soon "a manual" "http://$manuals_address/manuals/10000"
    for name in darbnica-1 darbnica-2 darbnica-3; do
      n=$(half_open "$name")
      [ "$n" -le "$half_open_max" ] || fail "$name has $n half-open flows"
      [ "$n" -le "$most" ] || most=$n
    done
    sleep 0.3
  done
  [ "$most" -gt 20 ] || fail "the flood did not arrive: at most $most half-open flows"
  flood_ended syn-flood
  progress "at most $most half-open flows, every class was served"
}

check_malformed() {
  local name targets=() streams=()
  for name in balancer-1 darbnica-1 rokasgramata-1; do
    targets+=("${host_ip[$name]}:$data_port")
    streams+=("${host_ip[$name]}:$http_port")
  done
  streams+=("${host_ip[balancer-1]}:$control_port")
  start_flood datagrams datagrams 80000 1 "${targets[@]}"
  start_flood connections connections 8 150 "${streams[@]}"
  flood_ended datagrams
  flood_ended connections
  for name in balancer-1 darbnica-1 rokasgramata-1; do
    n=$(counted "$name" '^dogwoodpaddle_(faults|routes)_total.*(malformed|wrong|unknown|service)')
    [ "$n" -gt 1000 ] || fail "$name counted only $n dropped datagrams"
    progress "$name counted $n dropped datagrams"
  done
  n=$(counted balancer-1 '^dogwoodpaddle_control_malformed_total')
  [ "$n" -gt 10 ] || fail "balancer-1 counted only $n malformed control messages"
  progress "balancer-1 counted $n malformed control messages"
}

no_half_open() {
  local name
  for name in darbnica-1 darbnica-2 darbnica-3; do
    [ "$(half_open "$name")" -eq 0 ] || return 1
  done
}

check_processes() {
  local name growth
  for name in "${balancers[@]}" "${servers[@]}"; do
    is_running "$name" || fail "$name ended by itself"
    growth=$(($(resident_kb "$name") - rss_before[$name]))
    [ "$growth" -lt "$growth_max_kb" ] || fail "$name grew by $growth kB"
    progress "$name grew by $growth kB"
  done
}

deployment_init 58
association_hosts 3 1
start_association --delay-ms 1 --seed 3
progress "every service address answers"
for name in "${balancers[@]}" "${servers[@]}"; do
  rss_before[$name]=$(resident_kb "$name")
done
start_traffic
check_syn_flood
check_malformed
check_traffic
wait_for 25 "half-open flows have expired" no_half_open
check_processes
progress "passed"
