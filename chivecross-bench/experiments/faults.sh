#!/usr/bin/env bash
# Runs real processes under faults and checks the history: a killed entry, a paused entry, silent
# connections, failing, cold, slow and breaking targets.
# Usage: faults.sh [--deployment NAME] [--seed N] [--seconds N] [--rate N]
set -uo pipefail
home=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
deployment=screenworks
seed=1
seconds=14
rate=300
while [ $# -gt 0 ]; do
  case "$1" in
    --deployment) deployment=$2; shift 2 ;;
    --seed) seed=$2; shift 2 ;;
    --seconds) seconds=$2; shift 2 ;;
    --rate) rate=$2; shift 2 ;;
    *) echo "faults: got \"$1\", allowed: --deployment, --seed, --seconds, --rate" >&2; exit 2 ;;
  esac
done
case "$deployment" in
  pulpwood) network=127.30.2; targets=127.20 ;;
  screenworks) network=127.50.2; targets=127.40 ;;
  *) echo "faults: --deployment: got \"$deployment\", allowed: pulpwood, screenworks" >&2; exit 2 ;;
esac
files="$home/examples/$deployment"
control="http://$network.99:8999"
. "$home/chivecross-bench/experiments/processes.sh"
build_if_missing || exit 1
RANDOM=$seed
export CHIVECROSS_JAVA_OPTIONS="${CHIVECROSS_JAVA_OPTIONS:--Xmx256m}"

start_numbered() { # N: starts entry N and keeps its pid
  start_entry "$network" "$1" 4
  entry_pid[$1]=$last_pid
}
behave() { # TARGET-PREFIX SETTINGS
  curl -fs -o /dev/null -X POST "$control/behaviour?target=$targets.$1&$2"
}

declare -A entry_pid
start_process upstream.log "$home/bin/chivecross-standin" upstream --files "$files" --seed "$seed" \
  --control "$network.99:8999" --history "$work/upstream.history"
wait_for "$control/targets" upstream.log || exit 1
start_platform "$network" "$files" || exit 1
for n in 1 2 3 4; do start_numbered $n; done
wait_for_entries "$network" 4 || exit 1

"$home/bin/chivecross-load" --files "$files" --rate "$rate" --seconds "$seconds" --seed "$seed" \
  --entries "$(entry_list "$network" 4)" \
  --mix read=60,write=35,upload=5 --resends 2 --history "$work/load.history" > "$work/load.out" 2>&1 &
load_pid=$!
sleep 4
faults=(silence kill pause fail-fast broken slow shed cold)
for _ in 1 2 3 4 5 6; do
  fault=${faults[$((RANDOM % ${#faults[@]}))]}
  n=$((1 + RANDOM % 4))
  group=$((1 + RANDOM % 3))
  echo "fault: $fault (entry $n, service $group)"
  case "$fault" in
    silence) curl -fs -o /dev/null -X POST "$control/silence" ;;
    kill) kill -9 "${entry_pid[$n]}"; sleep 0.3; start_numbered "$n" ;;
    pause) kill -STOP "${entry_pid[$n]}"; sleep 2; kill -CONT "${entry_pid[$n]}" ;;
    fail-fast) behave "$group.1:" "fail-fast=true"; sleep 0.7; behave "$group.1:" "" ;;
    broken) behave "$group.2:" "broken-body=true"; sleep 0.5; behave "$group.2:" "" ;;
    slow) behave "$group.3:" "slowdown=20"; sleep 0.7; behave "$group.3:" "" ;;
    shed) behave "$group.4:" "shedding=true"; sleep 0.5; behave "$group.4:" "" ;;
    cold) behave "$group.5:" "cold=true"; sleep 0.7; behave "$group.5:" "" ;;
  esac
  sleep 0.5
done
wait "$load_pid"
load_code=$?
cat "$work/load.out"
CHIVECROSS_JAVA_OPTIONS=-Xmx2g "$home/bin/chivecross-history" "$work/load.history" "$work/upstream.history"
code=$?
if [ -n "${CHIVECROSS_KEEP:-}" ]; then cp "$work"/*.history "$work"/*.log "$CHIVECROSS_KEEP"; fi
echo "faults: seed $seed, load exit $load_code, history exit $code"
[ "$load_code" -le 1 ] && [ "$code" -eq 0 ]
