#!/usr/bin/env bash
# Replaces every entry and every target of a deployment under load and checks the history: a planned
# stop must cut off no request. Each entry is stopped with SIGTERM and replaced at a new address.
# Usage: rolling.sh [--deployment NAME] [--entries N] [--rate N] [--seconds N] [--seed N]
set -uo pipefail
home=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
deployment=screenworks
entries=6
rate=800
seconds=60
seed=1
while [ $# -gt 0 ]; do
  case "$1" in
    --deployment) deployment=$2; shift 2 ;;
    --entries) entries=$2; shift 2 ;;
    --rate) rate=$2; shift 2 ;;
    --seconds) seconds=$2; shift 2 ;;
    --seed) seed=$2; shift 2 ;;
    *) echo "rolling: got \"$1\", allowed: --deployment, --entries, --rate, --seconds, --seed" >&2; exit 2 ;;
  esac
done
case "$deployment" in
  pulpwood) network=127.30.4; targets=127.20 ;;
  screenworks) network=127.50.4; targets=127.40 ;;
  *) echo "rolling: --deployment: got \"$deployment\", allowed: pulpwood, screenworks" >&2; exit 2 ;;
esac
files="$home/examples/$deployment"
control="http://$network.99:8999"
. "$home/chivecross-bench/experiments/processes.sh"
build_if_missing || exit 1
export CHIVECROSS_JAVA_OPTIONS="${CHIVECROSS_JAVA_OPTIONS:--Xmx192m}"

declare -A entry_pid
start_process upstream.log "$home/bin/chivecross-standin" upstream --files "$files" --seed "$seed" \
  --control "$network.99:8999" --history "$work/upstream.history"
wait_for "$control/targets" upstream.log || exit 1
start_platform "$network" "$files" || exit 1
for n in $(seq "$entries"); do
  start_entry "$network" "$n" "$entries"
  entry_pid[$n]=$last_pid
done
wait_for_entries "$network" "$entries" || exit 1
# The first calls meet programs that are not compiled yet; they are no part of the run.
"$home/bin/chivecross-load" --files "$files" --rate "$((rate / 2))" --seconds 10 --seed 999 --callers 100 \
  --entries "$(entry_list "$network" "$entries")" --upload-bytes 16384 > "$work/warm-up.out" 2>&1
"$home/bin/chivecross-load" --files "$files" --rate "$rate" --seconds "$seconds" --seed "$seed" \
  --entries "$(entry_list "$network" "$entries")" --callers 100 --mix read=60,write=37,upload=3 \
  --upload-bytes 16384 --resends 0 --history "$work/load.history" > "$work/load.out" 2>&1 &
load_pid=$!
sleep 4

# Targets: each in turn leaves, refuses connections as while it restarts, comes back cold.
(
  for group in 1 2 3; do
    for n in $(seq 1 20); do
      grep -qrF "$targets.$group.$n:8080" "$files" || continue
      behave() { curl -fs -o /dev/null -X POST "$control/behaviour?target=$targets.$group.$n:&$1"; }
      behave "leaving=true"; sleep 2.5
      behave "leaving=true&refusing=true"; sleep 0.3
      behave "cold=true"; sleep 0.3
      behave ""
    done
  done
) &
targets_pid=$!

# Entries: stop one, wait until it is gone, start its replacement at a new address.
for n in $(seq "$entries"); do
  kill -TERM "${entry_pid[$n]}"
  wait "${entry_pid[$n]}"
  echo "entry $n ended with $?"
  # A replacement asks the old entries and the replacements before it, as the operator's list would.
  start_entry "$network" "$((n + 100))" "$entries" \
    --peers "$(peer_list "$network" "$entries"),$network.101:7400,$network.102:7400,$network.103:7400"
  wait_for "http://$network.$((n + 100)):8000/chivecross/entries?caller=start" "entry-$((n + 100)).log" || exit 1
done
echo "all entries replaced after $SECONDS s"
wait "$load_pid"
load_code=$?
kill "$targets_pid" 2> /dev/null
cat "$work/load.out"
CHIVECROSS_JAVA_OPTIONS=-Xmx2g "$home/bin/chivecross-history" "$work/load.history" "$work/upstream.history"
code=$?
if [ -n "${CHIVECROSS_KEEP:-}" ]; then cp "$work"/*.history "$work"/*.log "$CHIVECROSS_KEEP"; fi
echo "rolling: load exit $load_code, history exit $code"
[ "$load_code" -eq 0 ] && [ "$code" -eq 0 ]
