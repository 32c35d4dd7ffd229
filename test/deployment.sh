# Starts and stops a deployment of real processes on loopback addresses; sourced by bash
# scripts. Every host has its own IP address, all hosts use the same ports. Only processes
# started here are signalled, by their id.
#
#   deployment_init LIMIT_S      temporary folder, ports, clean-up on exit, error and signal
#   association_hosts            declares the Association's hosts (docs/design.md, 1.1)
#   start_association            starts all of it and waits until each address answers
#   start_platform | start_balancer NAME | start_companion NAME | start_backend NAME
#   start_fabric [OPTION...]     after the balancers are declared
#   stop_process NAME            SIGTERM, waits until it ended
#   kill_process NAME            SIGKILL, waits until it ended
#   wait_for SECONDS TEXT COMMAND...
#   stop_all
#   start_load [OPTION...] | expect_load    verified load on all service addresses
#   start_download NAME | expect_download NAME    a manual, at most 2.5 MB a second
#   status_of HOST FILTER | metric_of HOST METRIC | platform_faults JSON
# shellcheck shell=bash

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
bin=${DP_BINARY_DIR:-$root/build}
region=lv-riga

declare -A process_pid=()     # NAME -> process id
declare -a process_order=()   # names in order of their start
declare -A host_ip=() host_zone=() host_service=() host_slots=()
declare -a balancers=() servers=() # names of hosts

# Prints the time since the start and a line of progress.
progress() {
  printf '%3d s  %s\n' "$SECONDS" "$*" >&2
}

fail() {
  progress "error: $*"
  exit 1
}

# deployment_init LIMIT_S: the deployment is stopped at the latest after this time.
deployment_init() {
  local limit=$1
  deploy_dir=$(mktemp -d)
  : >"$deploy_dir/pids"
  trap 'deployment_exit_ $?' EXIT
  trap 'exit 130' INT
  trap 'exit 143' TERM HUP
  choose_ports_
  watchdog_ $$ "$limit" &
  watchdog_pid=$!
}

# Declares the hosts of the Association: 3 availability zones with a balancer each,
# $1 (default 7) servers of darbnica and $2 (default 3) of rokasgramata.
association_hosts() {
  local zones=(riga-a riga-b riga-c) i
  for i in 1 2 3; do
    add_balancer "balancer-$i" "${zones[i - 1]}" "127.$net.$i.1"
  done
  for ((i = 1; i <= ${1:-7}; i++)); do
    add_server "darbnica-$i" "${zones[(i - 1) % 3]}" "127.$net.$(((i - 1) % 3 + 1)).1$i" \
      darbnica 4
  done
  for ((i = 1; i <= ${2:-3}; i++)); do
    add_server "rokasgramata-$i" "${zones[(i - 1) % 3]}" \
      "127.$net.$(((i - 1) % 3 + 1)).2$i" rokasgramata 4
  done
}

# add_balancer NAME ZONE IP
add_balancer() {
  balancers+=("$1")
  host_zone[$1]=$2
  host_ip[$1]=$3
}

# add_server NAME ZONE IP SERVICE SLOTS
add_server() {
  servers+=("$1")
  host_zone[$1]=$2
  host_ip[$1]=$3
  host_service[$1]=$4
  host_slots[$1]=$5
}

# Writes the Association's fleet file to $1. Reports have an address of their own, so that
# they are served before job sheets.
write_association_fleet() {
  cat >"$1" <<'JSON'
{"versions": {},
 "defaults": {"wait_limit_ms": 2000, "slots": 4, "connections": 2000, "trace_sample": 20},
 "services": {
   "darbnica": {"addresses": [
     {"ip": "10.77.0.1", "port": 80, "class": "interactive"},
     {"ip": "10.77.0.1", "port": 81, "class": "urgent"}]},
   "rokasgramata": {"addresses": [{"ip": "10.77.0.2", "port": 80, "class": "bulk"}]}},
 "exceptions": {
   "manuals-may-wait": {"service": "rokasgramata", "host": "",
     "set": {"wait_limit_ms": 10000},
     "reason": "a technician rather waits for a manual than asks again"}}}
JSON
}

# Starts the declared hosts, the platform and the fabric (its options: "$@"), and waits
# until every service address answers through the fabric.
start_association() {
  local name address
  start_platform
  write_association_fleet "$deploy_dir/fleet.json"
  "$bin/dogwoodpaddle" apply "$deploy_dir/fleet.json" --platform "$platform_url" \
    >"$deploy_dir/apply.out" 2>&1 || fail "apply: $(cat "$deploy_dir/apply.out")"
  for name in "${balancers[@]}"; do
    start_balancer "$name"
  done
  for name in "${servers[@]}"; do
    start_companion "$name"
    start_backend "$name"
  done
  start_fabric "$@"
  for name in "${balancers[@]}"; do
    wait_for 15 "$name is ready" is_ready "$name"
  done
  for name in "${servers[@]}"; do
    wait_for 15 "$name is an active member" is_member "$name" active
  done
  for address in "$jobs_address" "$reports_address" "$manuals_address"; do
    wait_for 15 "$address answers" fetch "http://$address/health"
  done
}

start_platform() {
  local listen="127.$net.0.1:$http_port"
  platform_url="http://$listen"
  start_process_ platform "$bin/standin-platform" --listen "$listen"
  wait_for 10 "the platform answers" fetch "$platform_url/v1/objects"
}

start_balancer() {
  write_settings_ "$1"
  start_process_ "$1" "$bin/dogwoodpaddle-balancer" --settings "$deploy_dir/$1.json"
}

# start_companion SERVER: the companion beside the server, named as the member.
start_companion() {
  write_settings_ "$1"
  start_process_ "$1" "$bin/dogwoodpaddle-companion" --settings "$deploy_dir/$1.json"
}

# start_backend SERVER [OPTION...]
start_backend() {
  local name=$1
  shift
  start_process_ "$name-server" "$bin/standin-backend" --name "$name" \
    --listen "$(server_address "$name")" --service "${host_service[$name]}" \
    --slots "${host_slots[$name]}" --companion "${host_ip[$name]}:$http_port" "$@"
}

start_fabric() {
  local name options=()
  for name in "${balancers[@]}"; do
    options+=(--balancer "${host_ip[$name]}:$data_port/$http_port")
  done
  jobs_address=127.$net.0.2:$server_port
  reports_address=127.$net.0.3:$server_port
  manuals_address=127.$net.0.4:$server_port
  fabric_http=127.$net.0.2:$http_port
  start_process_ fabric "$bin/standin-fabric" "${options[@]}" --http "$fabric_http" \
    --udp "127.$net.0.2:$data_port" --map "$jobs_address=10.77.0.1:80" \
    --map "$reports_address=10.77.0.1:81" --map "$manuals_address=10.77.0.2:80" "$@"
  wait_for 10 "the fabric answers" fetch "http://$fabric_http/stats"
}

# Prints the load generator's options that name this deployment's addresses.
load_targets() {
  echo "--target jobs:darbnica=$jobs_address --target reports:darbnica=$reports_address" \
    "--target manuals:rokasgramata=$manuals_address --fabric $fabric_http"
}

# Prints IP:PORT of the server, or of all servers separated by commas.
server_address() {
  echo "${host_ip[$1]}:$server_port"
}

server_addresses() {
  local name list=()
  for name in "${servers[@]}"; do
    list+=("$(server_address "$name")")
  done
  (IFS=, && echo "${list[*]}")
}

fetch() {
  curl --noproxy '*' --silent --fail --max-time 5 "$@" -o /dev/null
}

# is_ready HOST: its daemon says that it can do its work.
is_ready() {
  fetch "http://${host_ip[$1]}:$http_port/ready"
}

# is_member SERVER STATE
is_member() {
  [ "$(member_state "$1")" = "$2" ]
}

# Prints the state of the member in the platform, nothing if there is none.
member_state() {
  curl --noproxy '*' --silent --max-time 5 \
    "$platform_url/v1/objects/members/${host_service[$1]}" |
    jq -r --arg name "$1" '.value.members[]? | select(.name == $name) | .state'
}

# wait_for SECONDS TEXT COMMAND...: repeats the command until it succeeds.
wait_for() {
  local limit=$((SECONDS + $1)) text=$2
  shift 2
  until "$@"; do
    [ "$SECONDS" -lt "$limit" ] || fail "timeout: $text"
    sleep 0.05
  done
}

is_running() {
  # No pipe into grep -q: with pipefail, it fails if grep ends before jobs has written all.
  [ -n "${process_pid[$1]:-}" ] && [[ " $(jobs -pr | tr '\n' ' ')" == *" ${process_pid[$1]} "* ]]
}

has_ended() {
  ! is_running "$1"
}

# signal_process NAME SIGNAL
signal_process() {
  ! is_running "$1" || kill "-$2" "${process_pid[$1]}"
}

stop_process() {
  signal_process "$1" TERM
  wait_for "${2:-20}" "$1 ends" has_ended "$1"
}

kill_process() {
  signal_process "$1" KILL
  wait "${process_pid[$1]}" 2>/dev/null
}

# Prints the time in milliseconds.
now_ms() {
  local time=${EPOCHREALTIME/[.,]/}
  echo $((time / 1000))
}

# sleep_until MS: waits for a point of time given by now_ms.
sleep_until() {
  while [ "$(now_ms)" -lt "$1" ]; do
    sleep 0.02
  done
}

# kill_and_restart NAME START_FUNCTION: SIGKILL and a new start.
kill_and_restart() {
  kill_process "$1"
  "$2" "$1"
}

# status_of HOST FILTER: what jq prints of the /status of its daemon.
status_of() {
  curl --noproxy '*' --silent --max-time 5 "http://${host_ip[$1]}:$http_port/status" |
    jq -r "$2"
}

# metric_of HOST METRIC: the value of a metric of its daemon.
metric_of() {
  curl --noproxy '*' --silent --max-time 5 "http://${host_ip[$1]}:$http_port/metrics" |
    awk -v metric="$2" 'index($0, metric " ") == 1 { print $NF }'
}

# Prints the number of flows that the companion has accepted.
accepted_flows() {
  metric_of "$1" 'dogwoodpaddle_actions_total{action="connect"}'
}

accepted_more() { # HOST NUMBER
  [ "$(accepted_flows "$1")" -gt "$2" ]
}

# Prints the number of packets that the fabric has sent to the balancer.
packets_to() {
  curl --noproxy '*' --silent --max-time 5 "http://$fabric_http/stats" |
    jq --arg address "${host_ip[$1]}:$data_port" '.packets[$address] // 0'
}

packets_above() { # BALANCER NUMBER
  [ "$(packets_to "$1")" -gt "$2" ]
}

# has_revision REVISION HOST...: the revision is in force in all of the hosts' daemons.
has_revision() {
  local revision=$1 name
  shift
  for name in "$@"; do
    [ "$(status_of "$name" .revision)" -ge "$revision" ] 2>/dev/null || return 1
  done
}

# platform_faults JSON: see the stand-in of the platform.
platform_faults() {
  fetch -X PUT -d "$1" "$platform_url/v1/faults" || fail "platform_faults $1"
}

platform_revision() {
  curl --noproxy '*' --silent --max-time 10 "$platform_url/v1/objects" | jq .revision
}

# start_load [OPTION...]: its reports are looked up on the servers of $verified_servers
# (default: all), since a server that has ended can't be asked.
start_load() {
  # shellcheck disable=SC2046
  start_process_ load "$bin/standin-load" $(load_targets) --seed 1 --timeout-s 15 \
    --verify "${verified_servers:-$(server_addresses)}" --manual-bytes 200000 "$@"
}

# Waits for the load's end: nothing may be broken, doubled, lost or sent elsewhere.
expect_load() {
  local result
  wait_for 40 "the load ends" has_ended load
  wait "${process_pid[load]}"
  result=$(tail -n 1 "$deploy_dir/load.out")
  jq -e '.requests > 100 and .ok + .refused == .requests and .ok >= 0.9 * .requests and
    .broken == 0 and .doubled == 0 and .lost == 0 and .misdelivered == 0 and
    .refused_but_run == 0' <<<"$result" >/dev/null || fail "load: $result"
  progress "load: $(jq -c 'del(.wait_us, .servers)' <<<"$result")"
}

# start_download NAME: a manual of $manual_bytes; its headers are in NAME.head.
start_download() {
  start_process_ "$1" curl --noproxy '*' --silent --fail --max-time 50 --limit-rate 2500K \
    -D "$deploy_dir/$1.head" -o "$deploy_dir/$1.data" \
    "http://$manuals_address/manuals/$manual_bytes?seed=7"
}

# Prints the server that answers the download.
download_server() {
  sed -n 's/^X-Server: \([a-z0-9-]*\).*/\1/ip' "$deploy_dir/$1.head" 2>/dev/null
}

has_download_server() {
  [ -n "$(download_server "$1")" ]
}

# The manual that is downloaded, and its hash as a server sends it directly.
manual_bytes=30000000
manual_hash=e40303afcd516f1c28946b04bfc3617592d533b61c103a7469e818f057eaa0f4

expect_download() {
  local status
  wait_for 40 "$1 ends" has_ended "$1"
  wait "${process_pid[$1]}"
  status=$?
  [ "$status" -eq 0 ] || fail "$1 from $(download_server "$1"): curl's exit status $status"
  [[ $(sha256sum <"$deploy_dir/$1.data") == "$manual_hash "* ]] || fail "$1: wrong hash"
  rm "$deploy_dir/$1.data"
}

# Ends all processes: those that still write to the platform before the platform.
stop_all() {
  local name rest=()
  for name in "${process_order[@]}"; do
    [[ $name == platform || " ${balancers[*]} " == *" $name "* ]] || rest+=("$name")
  done
  stop_together_ "${rest[@]}"
  stop_together_ "${balancers[@]}"
  stop_together_ platform
}

# Stops the processes; what has not ended after 5 s is killed.
stop_together_() {
  local name limit=$((SECONDS + 5))
  for name in "$@"; do
    signal_process "$name" TERM
  done
  for name in "$@"; do
    while is_running "$name" && [ "$SECONDS" -lt "$limit" ]; do
      sleep 0.05
    done
    ! is_running "$name" || kill_process "$name"
  done
}

# start_process_ NAME COMMAND...
start_process_() {
  local name=$1
  shift
  "$@" >>"$deploy_dir/$name.out" 2>>"$deploy_dir/$name.log" &
  process_pid[$name]=$!
  echo $! >>"$deploy_dir/pids"
  process_order+=("$name")
}

write_settings_() {
  local name=$1 ip=${host_ip[$1]} peer peers=()
  for peer in "${balancers[@]}"; do
    [ "$peer" = "$name" ] || peers+=("${host_ip[$peer]}:$control_port")
  done
  jq -n --arg name "$name" --arg zone "${host_zone[$name]}" --arg region "$region" \
    --arg data "$ip:$data_port" --arg control "$ip:$control_port" \
    --arg http "$ip:$http_port" --arg platform "$platform_url" \
    --arg service "${host_service[$name]:-}" \
    '{$name, $zone, $region, $data, $http, $platform, peers: $ARGS.positional,
      trusted_networks: ["127.0.0.0/8"], log_level: "info"}
     + if $service == "" then {$control} else {$service} end' \
    --args "${peers[@]}" >"$deploy_dir/$name.json"
}

# Chooses a second byte of the loopback addresses on which nobody listens, so that several
# deployments can run side by side. The ports are below the range for clients' own ports.
choose_ports_() {
  data_port=7000 control_port=7001 http_port=7002 server_port=8000
  net=$(python3 - "$http_port" <<'PYTHON'
import random, socket, sys
for net in random.sample(range(1, 250), 40):
    with socket.socket() as s:
        try:
            s.bind((f"127.{net}.0.1", int(sys.argv[1])))
        except OSError:
            continue
        print(net)
        break
PYTHON
  )
  [ -n "$net" ] || fail "no free loopback addresses"
}

# Ends the deployment if its script is killed, and ends the script after LIMIT_S.
watchdog_() { # SCRIPT_PID LIMIT_S
  local end=$((SECONDS + $2)) pid
  trap - EXIT INT TERM HUP
  while kill -0 "$1" 2>/dev/null && [ "$SECONDS" -lt "$end" ]; do
    sleep 1
  done
  kill -TERM "$1" 2>/dev/null && sleep 10
  while read -r pid; do
    [[ $(readlink "/proc/$pid/exe") != "$bin"/* ]] || kill -KILL "$pid"
  done <"$deploy_dir/pids" 2>/dev/null
}

deployment_exit_() {
  local status=$1
  trap - EXIT
  trap '' INT TERM HUP
  stop_all
  kill "$watchdog_pid" 2>/dev/null
  if [ "$status" -eq 0 ]; then
    rm -rf "$deploy_dir"
  else
    progress "exit status $status; logs are in $deploy_dir"
  fi
  exit "$status"
}
