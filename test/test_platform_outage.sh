#!/usr/bin/env bash
# The platform is slow (2 s per answer), then down for 40 s, longer than any timeout.
# Guards against flows or new flows that need the platform, processes that can't start
# without it, a server that can't leave, and a change that is late once it is back.
set -uo pipefail
cd "$(dirname "$0")/.."
# shellcheck source=test/deployment.sh
. test/deployment.sh

deployment_init 120
association_hosts 4 3
start_association --delay-ms 1 --seed 1
progress "started"
all=("${balancers[@]}" "${servers[@]}")

# change_wait_limit MS: prints the accepted revision.
change_wait_limit() {
  jq --argjson ms "$1" '.defaults.wait_limit_ms = $ms' "$deploy_dir/fleet.json" \
    >"$deploy_dir/changed.json"
  "$bin/dogwoodpaddle" apply "$deploy_dir/changed.json" --platform "$platform_url" \
    >"$deploy_dir/apply.out" 2>&1 || fail "apply: $(cat "$deploy_dir/apply.out")"
  platform_revision
}

gone_or_leaving() {
  [ "$(member_state "$1")" != active ]
}

# A server that ends can't be asked for its reports; only manuals come from rokasgramata.
verified_servers=$(server_addresses | tr ',' '\n' | head -n 4 | paste -sd,)
start_load --rate 60 --seconds 6
platform_faults '{"delay_ms":2000}'
"$bin/dogwoodpaddle" show --platform "$platform_url" >"$deploy_dir/fleet.json" ||
  fail "show failed"
revision=$(change_wait_limit 3000)
wait_for 10 "revision $revision is in force, platform slow" has_revision "$revision" "${all[@]}"
expect_load
progress "revision $revision is in force, platform slow"

# A change that the platform has accepted and told nobody about waits there.
platform_faults '{"delay_ms":0,"cut_watches":true}'
"$bin/dogwoodpaddle" show --platform "$platform_url" >"$deploy_dir/fleet.json" ||
  fail "show failed"
waiting=$(change_wait_limit 3500)
platform_faults '{"down":true}'
down_at=$(now_ms)
progress "platform down, revision $waiting waits"

# Restarted processes have their records from peers. No flow is open, since the death of a
# companion ends its flows.
kill_and_restart balancer-1 start_balancer
kill_and_restart rokasgramata-1 start_companion
wait_for 20 "restarted processes have their records" has_revision "$revision" \
  balancer-1 rokasgramata-1
progress "balancer-1 and rokasgramata-1 have their records from peers"

# Flows, new flows and leaving need no platform.
start_load --rate 60 --seconds 28 --reuse 20
sleep_until $(($(now_ms) + 4000))
signal_process rokasgramata-2-server TERM
left_at=$(now_ms)
sleep_until $((left_at + 3000))
accepted=$(accepted_flows rokasgramata-2)
others=$(accepted_flows rokasgramata-3)
sleep_until $((down_at + 40000))
[ "$(accepted_flows rokasgramata-2)" = "$accepted" ] ||
  fail "rokasgramata-2: $(accepted_flows rokasgramata-2) flows accepted, $accepted after 3 s"
accepted_more rokasgramata-3 "$others" || fail "no new flows while the platform is down"
progress "leaving and new flows work without the platform"

platform_faults '{"down":false,"cut_watches":false}'
wait_for 5 "revision $waiting is in force, platform back" has_revision "$waiting" "${all[@]}"
progress "revision $waiting is in force"
wait_for 5 "rokasgramata-2 is not active" gone_or_leaving rokasgramata-2
wait_for 10 "rokasgramata-1 is active again" is_member rokasgramata-1 active
expect_load
progress "passed"
