#!/usr/bin/env bash
# Freezes processes (SIGSTOP, SIGCONT) and kills a companion. Guards against the removal of
# members that were only paused or that paused watchers didn't hear, a dead member that
# stays, and removals when most of a service falls silent at once.
set -uo pipefail
cd "$(dirname "$0")/.."
# shellcheck source=test/deployment.sh
. test/deployment.sh

deployment_init 120
association_hosts 5 3
start_association --delay-ms 1 --seed 1
progress "started"

# freeze SECONDS NAME...
freeze() {
  local seconds=$1 name
  shift
  for name in "$@"; do
    signal_process "$name" STOP
  done
  sleep_until $(($(now_ms) + seconds * 1000))
  for name in "$@"; do
    signal_process "$name" CONT
  done
  progress "$* frozen for $seconds s"
}

# Prints names and incarnations of all members.
incarnations() {
  curl --noproxy '*' --silent --max-time 5 "$platform_url/v1/objects?kind=members" |
    jq -c '[.items[].value.members[] | [.name, .incarnation]] | sort'
}

sum_of() { # METRIC
  local name sum=0
  for name in "${balancers[@]}"; do
    sum=$((sum + $(metric_of "$name" "$1")))
  done
  echo "$sum"
}

sum_above() { # METRIC NUMBER
  [ "$(sum_of "$1")" -gt "$2" ]
}

# Whether status shows exactly these companions as suspected.
status_suspects() {
  local expected
  expected=$(printf '%s\n' "$@" | sort | paste -sd,)
  [ "$("$bin/dogwoodpaddle" status --json --platform "$platform_url" |
    jq -r '[.processes[] | select(.kind == "companion" and .suspected > 0) | .name]
      | sort | join(",")')" = "$expected" ]
}

# Pauses that remove nobody and break no flow.
members=$(incarnations)
start_load --rate 60 --seconds 24
freeze 3 balancer-1
freeze 2 darbnica-1 # shorter than suspect_ms
freeze 6 balancer-1 balancer-2
freeze 8 platform
is_running load || fail "the load ended too early"
expect_load
[ "$(incarnations)" = "$members" ] || fail "members changed: $members to $(incarnations)"

# A pause longer than suspect_ms: removed, joins again by itself.
old=$(sum_of dogwoodpaddle_removals_total)
signal_process darbnica-1 STOP
wait_for 10 "frozen darbnica-1 is removed" is_member darbnica-1 ""
signal_process darbnica-1 CONT
wait_for 10 "darbnica-1 is active again" is_member darbnica-1 active
progress "darbnica-1 was removed and is back"

# A dead companion is removed once, on the word of two availability zones.
suspected=$(sum_of dogwoodpaddle_suspicions_total)
kill_process darbnica-2
wait_for 10 "killed darbnica-2 is removed" is_member darbnica-2 ""
[ "$(sum_of dogwoodpaddle_removals_total)" -eq $((old + 2)) ] ||
  fail "$(sum_of dogwoodpaddle_removals_total) removals, $((old + 2)) expected"
[ "$(sum_of dogwoodpaddle_suspicions_total)" -ge $((suspected + 2)) ] ||
  fail "removed on the word of one watcher"
progress "darbnica-2 was removed"

# Most companions of a service at once: nobody is removed. (3 of 4 members)
members=$(incarnations)
frozen=(darbnica-3 darbnica-4 darbnica-5)
for name in "${frozen[@]}"; do
  signal_process "$name" STOP
done
wait_for 10 "mass loss is counted" sum_above dogwoodpaddle_mass_losses_total 0
wait_for 10 "status shows ${frozen[*]} as suspected" status_suspects "${frozen[@]}"
sleep_until $(($(now_ms) + 3000))
for name in "${frozen[@]}"; do
  signal_process "$name" CONT
done
wait_for 10 "nobody is suspected any more" status_suspects
[ "$(incarnations)" = "$members" ] || fail "members changed: $members to $(incarnations)"
progress "nobody was removed after mass loss"

# New flows go to the members that are left: no SYN is sent to the dead one.
start_load --rate 60 --seconds 3
expect_load
progress "passed"
