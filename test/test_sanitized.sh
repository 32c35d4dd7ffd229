#!/usr/bin/env bash
# Runs the whole path under AddressSanitizer and UndefinedBehaviorSanitizer, in a second
# build folder: downloads, reports, a drain and the restart of a balancer. Guards against
# memory faults that only real processes and traffic reach.
set -uo pipefail
cd "$(dirname "$0")/.."
plain=${DP_BINARY_DIR:-$PWD/build}
export DP_BINARY_DIR=${DP_SANITIZED_DIR:-$plain/sanitized}
# shellcheck source=test/deployment.sh
. test/deployment.sh

deployment_init 200
programs=(dogwoodpaddle dogwoodpaddle-balancer dogwoodpaddle-companion standin-backend
  standin-fabric standin-load standin-platform)
cmake -S . -B "$bin" -G Ninja -DDP_SANITIZE=ON >/dev/null &&
  ninja -C "$bin" --quiet "${programs[@]}" >&2 || fail "the build failed"
progress "built"
export ASAN_OPTIONS=detect_leaks=1 UBSAN_OPTIONS=print_stacktrace=1
association_hosts 3 2
start_association --delay-ms 1 --jitter-ms 1 --loss 0.002 --duplicate 0.01 --seed 1
progress "started"
manual_bytes=10000000
manual_hash=af6458a793ab24cbf10945f9db93373ca04257366340d718ee31214dc4909552
start_download download-1
start_load --rate 40 --seconds 10
"$bin/dogwoodpaddle" drain darbnica-2 --service darbnica --platform "$platform_url" >&2 ||
  fail "drain failed"
kill_and_restart balancer-1 start_balancer
wait_for 20 "balancer-1 is ready" is_ready balancer-1
expect_load
expect_download download-1

# Leaks count in all processes but two stand-ins, which do not free their options at exit.
stop_all
logs=("$deploy_dir"/*.log "$deploy_dir"/*.out)
leak_logs=()
for name in "${balancers[@]}" "${servers[@]}" platform fabric; do
  leak_logs+=("$deploy_dir/$name.log")
done
if grep -hE -A 30 'ERROR: AddressSanitizer|runtime error:' "${logs[@]}" >&2 ||
  grep -h -A 30 'LeakSanitizer' "${leak_logs[@]}" >&2; then
  fail "sanitizer reports"
fi
progress "passed"
