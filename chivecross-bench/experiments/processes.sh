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
