#!/usr/bin/env bash
# Drains three servers that are sending long downloads (by the command line, SIGTERM to the
# backend server, SIGTERM to the companion) while a balancer is replaced. Guards against a
# planned change that breaks a download, new flows on a server that has been leaving for
# 3 s, and a companion that doesn't end.
set -uo pipefail
cd "$(dirname "$0")/.."
# shellcheck source=test/deployment.sh
. test/deployment.sh

deployment_init 100
association_hosts 3 5
start_association --delay-ms 1 --seed 1
progress "started"
# A server that ends can't be asked for its reports; only manuals come from those.
verified_servers=$(server_addresses | tr ',' '\n' | head -n 3 | paste -sd,)

# Starts downloads until three servers send one each.
declare -a downloads=() leaving=()
for ((i = 1; i <= 12 && ${#leaving[@]} < 3; i++)); do
  downloads+=("download-$i")
  start_download "download-$i"
  wait_for 10 "download-$i has an answer" has_download_server "download-$i"
  server=$(download_server "download-$i")
  [[ " ${leaving[*]} " == *" $server "* ]] || leaving+=("$server")
done
[ "${#leaving[@]}" -eq 3 ] || fail "all downloads are at ${leaving[*]}"
start_load --rate 100 --seconds 14 --reuse 0

declare -A accepted=()
began=$(now_ms)
"$bin/dogwoodpaddle" drain "${leaving[0]}" --service rokasgramata \
  --platform "$platform_url" >&2 || fail "drain failed"
signal_process "${leaving[1]}-server" TERM
signal_process "${leaving[2]}" TERM
progress "leaving: ${leaving[*]}"
stop_process balancer-2
start_balancer balancer-2
progress "replaced balancer-2"
sleep_until $((began + 3000))
for name in "${leaving[@]}"; do
  accepted[$name]=$(accepted_flows "$name")
  [ -n "${accepted[$name]}" ] || fail "$name has ended before its download"
done
wait_for 10 "balancer-2 is ready" is_ready balancer-2
sleep_until $((began + 7000))
for name in "${leaving[@]}"; do
  [ "$(accepted_flows "$name")" = "${accepted[$name]}" ] ||
    fail "$name: $(accepted_flows "$name") flows accepted, ${accepted[$name]} after 3 s"
done
is_running load || fail "the load ended too early"
for name in "${downloads[@]}"; do
  expect_download "$name"
done
progress "downloads are complete"
wait_for 10 "the companion ${leaving[2]} ends" has_ended "${leaving[2]}"
wait "${process_pid[${leaving[2]}]}" || fail "${leaving[2]}: exit status $?"
wait_for 10 "the server ${leaving[1]} ends" has_ended "${leaving[1]}-server"
wait_for 10 "${leaving[2]} is no member" is_member "${leaving[2]}" ""
expect_load
progress "passed"
