# Functions to start the programs on this machine and to end just what was started. Sourced by
# bin/demo and by the experiments; expects $home, the root of the checkout.

work=$(mktemp -d)
started=()

build_if_missing() {
  if [ -f "$home/chivecross-bench/target/chivecross-bench.jar" ] \
    && [ -f "$home/chivecross-entry/target/chivecross-entry.jar" ]; then
    return 0
  fi
  echo "Building"
  (cd "$home" && mvn -B -ntp -q -DskipTests package)
}

# start_process LOG PROGRAM ARGUMENTS...: starts a program in the background; its pid is in $last_pid.
start_process() {
  local log=$1
  shift
  "$@" > "$work/$log" 2>&1 &
  last_pid=$!
  started+=("$last_pid")
}

stop_all() {
  trap - EXIT INT TERM
  for pid in "${started[@]}"; do kill -CONT "$pid" 2>/dev/null; kill "$pid" 2>/dev/null; done
  sleep 0.3
  for pid in "${started[@]}"; do kill "$pid" 2>/dev/null; done
  for pid in "${started[@]}"; do wait "$pid" 2>/dev/null; done
  rm -rf "$work"
}
trap 'stop_all' EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

# wait_for URL LOG: waits until the URL answers with a status below 400, or prints the log.
wait_for() {
  for _ in $(seq 1 150); do
    curl -fs -o /dev/null --max-time 1 "$1" && return 0
    sleep 0.2
  done
  echo "no answer from $1" >&2
  cat "$work/$2" >&2
  return 1
}

# start_platform NETWORK FILES: packs a file set and publishes it on NETWORK.98:8500.
start_platform() {
  "$home/bin/chivecross-check" "$2" --pack "$work/packed" > "$work/check.log" 2>&1 \
    || { cat "$work/check.log" >&2; return 1; }
  start_process platform.log "$home/bin/chivecross-standin" platform --listen "$1.98:8500" \
    --packed "$work/packed" --deployment "$deployment"
}

# start_entry NETWORK N ENTRIES [FLAGS...]: starts entry N of 1 to ENTRIES; entries are spread over
# the data centres dc1 to dc3.
start_entry() {
  local network=$1 n=$2 entries=$3
  shift 3
  start_process "entry-$n.log" "$home/bin/chivecross-entry" --listen "$network.$n:8000" \
    --deployment "$deployment" --data-centre "dc$((1 + (n - 1) % 3))" --platform "http://$network.98:8500" \
    --peer-listen "$network.$n:7400" --plain-peers "${@:---peers=$(peer_list "$network" "$entries")}"
}

peer_list() { # NETWORK ENTRIES
  local list=
  for n in $(seq "$2"); do list="$list,$1.$n:7400"; done
  echo "${list#,}"
}

entry_list() { # NETWORK ENTRIES
  local list=
  for n in $(seq "$2"); do list="$list,$1.$n:8000"; done
  echo "${list#,}"
}

# wait_for_entries NETWORK ENTRIES: waits until every entry serves callers.
wait_for_entries() {
  for n in $(seq "$2"); do
    wait_for "http://$1.$n:8000/chivecross/entries?caller=start" "entry-$n.log" || return 1
  done
}
