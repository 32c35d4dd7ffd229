#!/usr/bin/env bash
# Operators' changes on a running deployment: an answer lost on apply, two operators at
# once, and restarts of every process. Guards against a change that is written twice or
# reported wrongly, one that silently overwrites another, and settings that go back.
set -uo pipefail
cd "$(dirname "$0")/.."
# shellcheck source=test/deployment.sh
. test/deployment.sh

deployment_init 90
association_hosts 2 1
start_association --delay-ms 1 --seed 1
progress "started"
all=("${balancers[@]}" "${servers[@]}")

# make_change WAIT_LIMIT_MS FILE: a change that is based on the present versions.
make_change() {
  "$bin/dogwoodpaddle" show --platform "$platform_url" |
    jq --argjson ms "$1" '.defaults.wait_limit_ms = $ms' >"$2" || fail "show failed"
}

apply() { # FILE
  "$bin/dogwoodpaddle" apply "$1" --platform "$platform_url" >"$1.out" 2>&1
}

# Prints the wait limit and version that the platform holds.
present_defaults() {
  curl --noproxy '*' --silent --max-time 5 "$platform_url/v1/objects/fleet/defaults" |
    jq -c '[.value.wait_limit_ms, .version]'
}

# An answer is lost: the change is written once and reported as done.
make_change 2500 "$deploy_dir/lost.json"
version=$(present_defaults | jq '.[1]')
platform_faults '{"lose_answers":1}'
apply "$deploy_dir/lost.json" || fail "apply: $(cat "$deploy_dir/lost.json.out")"
platform_faults '{"lose_answers":0}'
lost=$(present_defaults)
[ "$(jq '.[0]' <<<"$lost")" = 2500 ] || fail "the change is not on the platform: $lost"
[ "$(jq '.[1]' <<<"$lost")" -gt "$version" ] || fail "version $version did not change"
apply "$deploy_dir/lost.json" || fail "apply again: $(cat "$deploy_dir/lost.json.out")"
[ "$(present_defaults)" = "$lost" ] || fail "written twice: $lost, $(present_defaults)"
progress "lost answer: the change was written once"

# Two operators at once, five times: one wins, the other is told, nothing is mixed.
for ((i = 1; i <= 5; i++)); do
  make_change $((3000 + i)) "$deploy_dir/first.json"
  make_change $((4000 + i)) "$deploy_dir/second.json"
  apply "$deploy_dir/first.json" &
  first=$!
  apply "$deploy_dir/second.json" &
  second=$!
  wait "$first"
  first=$?
  wait "$second"
  second=$?
  case "$first $second" in
    "0 3") winner=$((3000 + i)) ;;
    "3 0") winner=$((4000 + i)) ;;
    *) fail "exit statuses $first and $second, expected 0 and 3" ;;
  esac
  [ "$(present_defaults | jq '.[0]')" = "$winner" ] || fail "$(present_defaults), not $winner"
done
progress "two operators: one wins, the other is told"

# Restarts, one after the other: each process gets the present revision again, and none of
# the others goes back.
revision=$(platform_revision)
wait_for 5 "revision $revision is in force" has_revision "$revision" "${all[@]}"
before=$(present_defaults)
connected() {
  [ "$(status_of "$1" '.connected and .revision > 0')" = true ]
}
for name in "${all[@]}"; do
  start=start_balancer
  [ -z "${host_service[$name]:-}" ] || start=start_companion
  kill_and_restart "$name" "$start"
  wait_for 10 "$name is connected" connected "$name"
  wait_for 5 "$name has revision $revision" has_revision "$revision" "$name"
  has_revision "$revision" "${all[@]}" || fail "a process went back after the restart of $name"
done
[ "$(present_defaults)" = "$before" ] || fail "$before became $(present_defaults)"
progress "no settings went back after restarts"
progress "passed"
