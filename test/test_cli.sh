#!/usr/bin/env bash
# Runs the command line against the stand-in of the platform. Each step names the failure
# that it guards against.
set -uo pipefail
source_dir=${DP_SOURCE_DIR:-$(cd "$(dirname "$0")/.." && pwd)}
binary_dir=${DP_BINARY_DIR:-$source_dir/build}
cli=$binary_dir/dogwoodpaddle
work=$(mktemp -d)
unset DOGWOODPADDLE_PLATFORM
export XDG_CONFIG_HOME=$work/config
failures=0
steps=0
platform_pid=
balancer_pid=

finish() {
  [ -z "$platform_pid" ] || kill "$platform_pid" 2>/dev/null
  [ -z "$balancer_pid" ] || kill "$balancer_pid" 2>/dev/null
  rm -rf "$work"
}
trap finish EXIT

fail() {
  failures=$((failures + 1))
  echo "FAILED: $*"
  sed 's/^/  out: /' "$work/out"
  sed 's/^/  err: /' "$work/err"
}

# run STATUS GUARD ARGUMENT...: runs the command line and checks its exit status.
run() {
  local status=$1 guard=$2 got
  shift 2
  steps=$((steps + 1))
  timeout 60 "$cli" "$@" >"$work/out" 2>"$work/err"
  got=$?
  [ "$got" -eq "$status" ] || fail "$guard: exit status $got, expected $status: $*"
}

# has FILE TEXT: the output (out) or error output (err) of the last run contains the text.
has() {
  grep -qF -- "$2" "$work/$1" || fail "\"$2\" is not in $1"
}

lacks() {
  ! grep -qF -- "$2" "$work/$1" || fail "\"$2\" is in $1"
}

# wait_for COMMAND...: repeats the command until it succeeds, at most 20 s.
wait_for() {
  local deadline=$((SECONDS + 20))
  until "$@" >/dev/null 2>&1; do
    if [ "$SECONDS" -ge "$deadline" ]; then
      echo "FAILED: waited 20 s for: $*"
      exit 1
    fi
    sleep 0.05
  done
}

free_port() {
  python3 -c 'import socket; s = socket.socket(); s.bind(("127.0.0.1", 0)); print(s.getsockname()[1])'
}

answers() {
  curl -sf -o "$work/curl" "$1"
}

start_platform() {
  local port
  for _ in 1 2 3 4 5; do
    port=$(free_port)
    url=http://127.0.0.1:$port
    "$binary_dir/standin-platform" --listen "127.0.0.1:$port" 2>"$work/platform.log" &
    platform_pid=$!
    for _ in $(seq 100); do
      answers "$url/v1/objects" && return
      kill -0 "$platform_pid" 2>/dev/null || break
      sleep 0.05
    done
  done
  echo "FAILED: the stand-in of the platform does not start"
  exit 1
}

faults() {
  curl -sf -X PUT -d "$1" "$url/v1/faults" >/dev/null
}

calls() {
  curl -sf "$url/v1/calls" | jq "$1"
}

revision() {
  curl -sf "$url/v1/objects" | jq .revision
}

version() {
  curl -sf "$url/v1/objects/$1" | jq .version
}

value() {
  curl -sf "$url/v1/objects/$1" | jq -c .value
}

# put KEY VALUE: writes an object on its present version, as another process would.
put() {
  local present
  present=$(curl -s "$url/v1/objects/$1" | jq '.version // 0')
  curl -sf -X PUT -H "If-Match: \"${present:-0}\"" -d "$2" "$url/v1/objects/$1" >/dev/null
}

# put_at KEY VERSION VALUE: writes it on a known version, in one call.
put_at() {
  curl -sf -X PUT -H "If-Match: \"$2\"" -d "$3" "$url/v1/objects/$1" >/dev/null
}

writes_above() {
  [ "$(calls .writes)" -gt "$1" ]
}

reads_above() {
  [ "$(calls .reads)" -gt "$1" ]
}

# same WHAT EXPECTED ACTUAL
same() {
  [ "$2" = "$3" ] || fail "$1: expected $2, got $3"
}

fleet=$source_dir/examples/association-fleet.json

# Usage.
run 0 "no help" --help
has out "undrain MEMBER --service NAME"
run 0 "no version" --version
has out "dogwoodpaddle "
run 2 "missing command accepted"
run 2 "unknown command accepted" aply "$fleet"
run 2 "missing file accepted" apply
run 2 "second file ignored" check "$fleet" "$fleet"
run 2 "unknown option ignored" show --al
run 2 "drain without a service" drain darbnica-1 --platform http://127.0.0.1:9
run 2 "no platform known" show
has err "--platform"
run 2 "platform URL with a host name" show --platform http://localhost:80
has err "is not http://IP:PORT"
run 2 "balancer without a port" status --balancer 127.0.0.1

# The manual page has every command and option of --help.
run 0 "no help" --help
sed 's/\\-/-/g' "$source_dir/man/dogwoodpaddle.1" >"$work/manual"
for word in $(grep -oE -- '--[a-z]+' "$work/out" | sort -u) check apply show status watch drain undrain explain-placement; do
  grep -qF -- "$word" "$work/manual" || fail "$word is missing in the manual page"
done

# The command line's own settings.
run 0 "example refused" check "$fleet" --config "$source_dir/examples/command-line.json" \
  --platform "http://127.0.0.1:$(free_port)"
echo '{"platform":"http://127.0.0.1:9","balancer":[]}' >"$work/config.json"
run 2 "misspelt key ignored" show --config "$work/config.json"
has err "$work/config.json: \$.balancer: unknown key"
echo '{"platform":7}' >"$work/config.json"
run 2 "wrong type" show --config "$work/config.json"
has err "$work/config.json: \$.platform: must be a string"
run 2 "missing settings file ignored" show --config "$work/nothing.json"
has err "$work/nothing.json"

# A daemon with faulty settings ends with status 2 and names file, key and reason.
for daemon in balancer companion; do
  steps=$((steps + 1))
  jq '.data = "localhost:1" | .pears = []' "$source_dir/examples/$daemon.json" >"$work/$daemon.json"
  timeout 20 "$binary_dir/dogwoodpaddle-$daemon" --settings "$work/$daemon.json" >"$work/out" 2>"$work/err"
  same "exit status of a $daemon with faulty settings" 2 "$?"
  has err "$work/$daemon.json: \$.pears: unknown key"
  has err '"localhost" is not an IPv4 address'
done

# check without a platform.
for file in association-fleet vrtina-fleet; do
  run 0 "example refused" check "$source_dir/examples/$file.json"
  has out "checked the file alone"
done
cat >"$work/bad.json" <<'END'
{"defaults": {"visits": 0, "visit": 1},
 "services": {"a": {"addresses": [{"ip": "10.0.0.1", "port": 1e99, "class": "bulk"}]}},
 "exceptions": {"x": {"service": "b", "set": {"slots": -1}, "reason": " "}}}
END
run 2 "faults reported one at a time" check "$work/bad.json"
for path in defaults.visits defaults.visit 'services.a.addresses[0].port' \
  exceptions.x.service exceptions.x.set.slots exceptions.x.reason; do
  has err "$work/bad.json: \$.$path: "
done
run 2 "faults missing in JSON" check "$work/bad.json" --json
same "faults in JSON" 6 "$(jq '.faults | length' "$work/out")"
same "result in JSON" '"usage"' "$(jq .result "$work/out")"
: >"$work/empty.json"
run 2 "empty file taken as an empty fleet" check "$work/empty.json"
run 2 "missing file" check "$work/nothing.json"
run 0 "unreachable platform makes a right file wrong" check "$fleet" --platform "http://127.0.0.1:$(free_port)"
has out "checked the file alone: "

start_platform
export DOGWOODPADDLE_PLATFORM=$url

# check and apply on an empty platform.
run 0 "check writes" check "$fleet"
has out "would create fleet/defaults"
has out "would create exception/one-disk-left"
same "revision after check" 0 "$(revision)"
run 2 "faulty file applied" apply "$work/bad.json"
same "revision after a faulty file" 0 "$(revision)"
run 0 "apply" apply "$fleet"
has out "create service/darbnica: written"
has out "5 written, 0 unchanged; accepted at revision 5"
run 0 "second apply writes again" apply "$fleet"
has out "nothing to change: 5 objects unchanged"
same "revision after the second apply" 5 "$(revision)"

# show and apply.
run 0 "show" show
cp "$work/out" "$work/shown.json"
same "versions shown" 5 "$(jq '.versions | length' "$work/shown.json")"
run 0 "shown file changes something" apply "$work/shown.json"
same "revision after applying what was shown" 5 "$(revision)"
run 0 "show --json" show --json
same "lines of show --json" 1 "$(wc -l <"$work/out")"
run 0 "shown file changes something" apply --json "$work/shown.json"
same "written in JSON" 0 "$(jq .written "$work/out")"

# One change, and an object that was added meanwhile.
put service/added '{"addresses":[{"ip":"10.77.0.9","port":80,"class":"bulk"}]}'
jq '.defaults.visits = 3' "$work/shown.json" >"$work/visits.json"
run 0 "check does not say what changes" check "$work/visits.json"
has out "would update fleet/defaults"
lacks out "service/"
run 0 "change refused" apply "$work/visits.json"
has out "1 written, 5 unchanged"
same "visits" 3 "$(value fleet/defaults | jq .visits)"
same "added object" 6 "$(version service/added)"

# Two operators.
before=$(revision)
jq '.defaults.visits = 5 | .exceptions["manuals-may-wait"].set.wait_limit_ms = 1' \
  "$work/shown.json" >"$work/second.json"
run 3 "another operator's change overwritten" apply "$work/second.json"
has err "fleet/defaults was changed: version"
has err '"visits":5'
has err '"visits":3'
has err "nothing was written"
same "revision after a conflict" "$before" "$(revision)"
run 3 "conflict missing in JSON" apply --json "$work/second.json"
same "conflict in JSON" '["fleet/defaults",5,3]' \
  "$(jq -c '.conflicts[0] | [.object, .wanted.visits, .present.visits]' "$work/out")"
run 3 "check hides a conflict" check "$work/second.json"
jq 'del(.versions) | .defaults.visits = 5' "$work/shown.json" >"$work/unversioned.json"
run 3 "file without versions overwrites" apply "$work/unversioned.json"
has err "names no version"
same "revision after a file without versions" "$before" "$(revision)"

# Deletion needs the version; objects that the file never knew stay.
run 0 "show" show
cp "$work/out" "$work/shown.json"
jq 'del(.exceptions["one-disk-left"]) | del(.services.added) | del(.versions["service/added"])' \
  "$work/shown.json" >"$work/less.json"
run 0 "deletion" apply "$work/less.json"
has out "delete exception/one-disk-left: written"
same "deleted object" 404 \
  "$(curl -s -o "$work/curl" -w '%{http_code}' "$url/v1/objects/exception/one-disk-left")"
same "object that the file does not know" 6 "$(version service/added)"
run 0 "second deletion" apply "$work/less.json"
has out "nothing to change"

# A file that contradicts an object that was added meanwhile.
before=$(revision)
echo '{"services":{"twin":{"addresses":[{"ip":"10.77.0.9","port":80,"class":"bulk"}]}}}' \
  >"$work/twin.json"
run 3 "address of two services" apply "$work/twin.json"
has err "is already the address of \$.services.added"
same "revision after a contradiction" "$before" "$(revision)"

# Lost answers and outages.
jq '.defaults.visits = 2' "$work/shown.json" | jq 'del(.exceptions["one-disk-left"], .versions["exception/one-disk-left"])' >"$work/lost.json"
faults '{"lose_answers":1}'
run 0 "lost answer taken for a failure" apply "$work/lost.json"
has out "update fleet/defaults: written (confirmed after more than one call)"
same "revision after a lost answer" "$((before + 1))" "$(revision)"
faults '{"lose_answers":0,"down":true}'
run 4 "outage taken for success" apply "$work/lost.json"
has err "nothing was written"
has err "$url"
run 4 "outage" show
run 4 "outage" status
run 4 "outage" drain darbnica-1 --service darbnica
run 0 "outage makes a right file wrong" check "$work/lost.json"
has out "checked the file alone: "
faults '{"down":false}'

# A conflict in the middle: the second object changes after the comparison. Every call is
# carried out a second late, so that the other change is first.
run 0 "show" show
defaults_version=$(version fleet/defaults)
jq '.defaults.visits = 7 | .services.darbnica.addresses[0].class = "bulk"' "$work/out" >"$work/both.json"
writes=$(calls .writes)
faults '{"delay_ms":1000}'
timeout 60 "$cli" apply "$work/both.json" >"$work/out" 2>"$work/err" &
apply_pid=$!
wait_for writes_above "$writes"
put_at fleet/defaults "$defaults_version" '{"visits":6}'
wait "$apply_pid"
status=$?
faults '{"delay_ms":0}'
same "exit status of a conflict in the middle" 3 "$status"
has out "update service/darbnica: written"
has err "fleet/defaults: not written, someone else changed it meanwhile"
has err '"visits":6'
has err "1 written before that"
same "object of the other operator" '{"visits":6}' "$(value fleet/defaults)"

# An outage in the middle.
run 0 "show" show
jq '.defaults.visits = 8 | .services.darbnica.addresses[0].class = "urgent"
  | .exceptions.late = {service: "darbnica", set: {slots: 3}, reason: "r"}' "$work/out" >"$work/three.json"
writes=$(calls .writes)
faults '{"delay_ms":1000}'
timeout 60 "$cli" apply "$work/three.json" >"$work/out" 2>"$work/err" &
apply_pid=$!
wait_for writes_above "$((writes + 1))"
faults '{"down":true,"delay_ms":0}'
wait "$apply_pid"
status=$?
faults '{"down":false}'
has out "update service/darbnica: written"
same "exit status of an outage in the middle" 4 "$status"
has err "exception/late: outcome unknown"
has err "update fleet/defaults: not tried, not written"
run 0 "same file refused after an unknown outcome" apply "$work/three.json"
same "defaults after the second attempt" 8 "$(value fleet/defaults | jq .visits)"
same "exception after the second attempt" 3 "$(value exception/late | jq .set.slots)"

# drain and undrain.
run 1 "service without members" drain darbnica-1 --service darbnica
has err "members/darbnica"
member() {
  printf '{"name":"darbnica-%s","zone":"riga-a","ip":"127.1.1.%s","port":7000,"slots":4,"connections":2000,"state":"%s","incarnation":%s,"later":true}' "$1" "1$1" "$2" "$3"
}
put members/darbnica "{\"members\":[$(member 1 active 11),$(member 2 active 12)]}"
run 1 "unknown member" drain darbnica-9 --service darbnica
has err "there is no member \"darbnica-9\"; there are: darbnica-1, darbnica-2"
run 0 "drain" drain darbnica-1 --service darbnica
same "drained member" '["leaving",true,true]' \
  "$(value members/darbnica | jq -c '.members[0] | [.state, .held, .later]')"
same "other member" '["active",null]' \
  "$(value members/darbnica | jq -c '.members[1] | [.state, .held]')"
before=$(revision)
run 0 "second drain" drain darbnica-1 --service darbnica
has out "is drained already"
same "revision after the second drain" "$before" "$(revision)"
run 1 "endless wait" drain darbnica-1 --service darbnica --wait --timeout 1
has err "not reached after 1 s"
run 0 "undrain" undrain darbnica-1 --service darbnica
same "undrained member" '["leaving",null]' \
  "$(value members/darbnica | jq -c '.members[0] | [.state, .held]')"
run 1 "member that leaves by itself" undrain darbnica-1 --service darbnica
run 0 "undrain of an active member" undrain darbnica-2 --service darbnica
has out "is not drained"
# A drained member that has ended is held without an entry.
put members/ended '{"members":[],"held":["ended-1","ended-2"]}'
run 0 "undrain of a member that has ended" undrain ended-1 --service ended
same "held names" '["ended-2"]' "$(value members/ended | jq -c .held)"

# A drain whose list changes between reading and writing is made again on the new list.
list_version=$(version members/darbnica)
reads=$(calls .reads)
faults '{"delay_ms":1000}'
timeout 60 "$cli" drain darbnica-2 --service darbnica >"$work/out" 2>"$work/err" &
drain_pid=$!
wait_for reads_above "$reads"
put_at members/darbnica "$list_version" "{\"members\":[$(member 1 active 21),$(member 2 active 12)]}"
wait "$drain_pid"
status=$?
faults '{"delay_ms":0}'
same "exit status of a drain against another writer" 0 "$status"
same "both changes" '[["active",21],["leaving",12]]' \
  "$(value members/darbnica | jq -c '[.members[] | [.state, .incarnation]]')"

# status and watch, with a stand-in for one balancer's /status.
mkdir "$work/balancer"
report() { # REVISION OF darbnica-1 AND OF darbnica-2, CONNECTIONS OF darbnica-2
  cat >"$work/balancer/new" <<END
{"name":"balancer-1","zone":"riga-a","kind":"balancer","revision":$1,"connected":true,"watched":[
{"service":"darbnica","member":"darbnica-1","incarnation":21,"revision":$2,"busy":1,"connections":7,"state":"alive"},
{"service":"darbnica","member":"darbnica-2","incarnation":12,"revision":$3,"busy":0,"connections":$4,"state":"alive"}]}
END
  mv "$work/balancer/new" "$work/balancer/status"
}
report 1 1 1 5
for _ in 1 2 3 4 5; do
  balancer=127.0.0.1:$(free_port)
  python3 -m http.server --bind 127.0.0.1 --directory "$work/balancer" "${balancer#*:}" >/dev/null 2>&1 &
  balancer_pid=$!
  for _ in $(seq 100); do
    answers "http://$balancer/status" && break 2
    kill -0 "$balancer_pid" 2>/dev/null || break
    sleep 0.05
  done
done
put balancer/balancer-1 "{\"zone\":\"riga-a\",\"ip\":\"127.0.0.1\",\"data_port\":1,\"control_port\":2,\"http_port\":${balancer#*:},\"incarnation\":1}"
now=$(revision)
run 0 "status" status
has out "revision $now: in force on 0 of 3 processes; lagging: balancer-1, darbnica-1, darbnica-2"
has out "fleet/defaults: accepted at revision $(version fleet/defaults), in force on 0 of 3 processes"
run 0 "status" status --json
same "changes that a process lacks, newest first" '["fleet/defaults",6]' \
  "$(jq -c '[.changes[0].object, (.changes | length)]' "$work/out")"
run 1 "lagging processes taken for up to date" watch --timeout 1
has err "not in force everywhere after 1 s"
report "$now" "$now" "$((now - 1))" 5
run 0 "status" status --json
same "processes in force" '[2,3]' "$(jq -c '[.in_force, .of]' "$work/out")"
same "process that lags" '["darbnica-2"]' \
  "$(jq -c '[.processes[] | select(.in_force | not) | .name]' "$work/out")"
timeout 60 "$cli" watch --timeout 30 >"$work/out" 2>"$work/err" &
watch_pid=$!
wait_for grep -q "in force on 2 of 3" "$work/out"
report "$now" "$now" "$now" 5
wait "$watch_pid"
status=$?
same "exit status of watch" 0 "$status"
has out "in force on 3 of 3 processes"
run 0 "watch for an earlier revision" watch --timeout 1 --revision 1

# A suspected member, and one from which no balancer has heard since it started.
jq -c '.watched[0].suspected = true | .watched[1].heard = false' "$work/balancer/status" >"$work/new"
mv "$work/new" "$work/balancer/status"
run 0 "status" status
grep -q "darbnica-1 .* suspected by 1" "$work/out" || fail "a suspicion is not shown"
grep -q "darbnica-2 .* no answer: no balancer" "$work/out" || fail "an unheard member answers"
run 1 "unheard member taken for up to date" watch --timeout 0

# A member has left once it knows of the drain and has no connection left.
run 1 "drain ended with connections" drain darbnica-2 --service darbnica --wait --timeout 1
report "$now" "$now" 1 0
run 1 "drain ended by an old report" drain darbnica-2 --service darbnica --wait --timeout 1
report "$now" "$now" "$now" 0
run 0 "drain without end" drain darbnica-2 --service darbnica --wait --timeout 20
has out "darbnica-2 of darbnica: has left"

# A report of an earlier incarnation says nothing about the present one.
put members/darbnica "{\"members\":[$(member 1 active 22),$(member 2 active 12)]}"
run 0 "status" status --json
same "member of an earlier incarnation" '[false]' \
  "$(jq -c '[.processes[] | select(.name == "darbnica-1") | .answers]' "$work/out")"

# A balancer that does not answer, and the platform's outage.
put balancer/balancer-2 '{"zone":"riga-b","ip":"127.0.0.1","data_port":1,"control_port":2,"http_port":9,"incarnation":1}'
run 0 "status" status
has out "no answer: status of 127.0.0.1:9"
faults '{"down":true}'
run 0 "status needs the platform" status --balancer "$balancer"
has out "the accepted revision is unknown; the highest that a process has is $now"
has out "balancer-1"
echo "{\"platform\":\"$url\",\"balancers\":[\"$balancer\"]}" >"$work/config.json"
run 0 "balancers of the settings ignored" status --json --config "$work/config.json"
same "processes known without the platform" 3 "$(jq '.processes | length' "$work/out")"
run 4 "status without any source" status
has err "$url"

# explain-placement: malformed addresses, a process that is down or answers with an error,
# and an address that no service has.
unset DOGWOODPADDLE_PLATFORM
flow=(--service 198.18.0.1:443 --client 100.64.0.6:1025)
run 2 "no process" explain-placement "${flow[@]}"
has err "--at is missing"
run 2 "no client" explain-placement --at "$balancer" --service 198.18.0.1:443
has err "--client is missing"
run 2 "no service" explain-placement --at "$balancer" --client 100.64.0.6:1025
has err "--service is missing"
run 2 "service by name" explain-placement --at "$balancer" --service darbnica --client 100.64.0.6:1025
has err "--service: "
run 2 "client without a port" explain-placement --at "$balancer" --service 198.18.0.1:443 --client 100.64.0.6
has err "--client: "
run 2 "process by name" explain-placement --at localhost:80 "${flow[@]}"
has err "--at: "
run 1 "process that is down" explain-placement --at "127.0.0.1:$(free_port)" "${flow[@]}"
has err "does not answer: "
run 1 "process without the call" explain-placement --at "$balancer" "${flow[@]}" --json
has err "$balancer answered with HTTP status 404"
same "result in JSON" '"failed"' "$(jq .result "$work/out")"
echo 'ready' >"$work/balancer/explain"
run 1 "answer that is no JSON" explain-placement --at "$balancer" "${flow[@]}"
has err "$balancer answered with something else than a JSON object"
echo '{"reason":"no_route"}' >"$work/balancer/explain"
run 1 "unknown service address" explain-placement --at "$balancer" "${flow[@]}"
has err "no service has the address 198.18.0.1:443"
echo '{"reason":"placed","chosen":"a-1","members":[7,{"name":"a-1","failing":true,"cost":0.5}]}' >"$work/balancer/explain"
run 0 "explanation refused" explain-placement --at "$balancer" "${flow[@]}"
grep -qE 'a-1 .* 0\.500 .*failing' "$work/out" || fail "a member is not shown"

echo "$steps runs, $failures failures"
[ "$failures" -eq 0 ]
