#!/usr/bin/env bash
# Prints the slopes that docs/CAPACITY.md multiplies out: processor time for a request, for a
# directory answer and for idle time, and heap for a caller connection, and processor time and heap for a target.
# Usage: capacity.sh [data-path|directory|connections|idle|control]...   (default: all)
set -uo pipefail
home=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
files="$home/examples/screenworks"
network=127.50.3
. "$home/chivecross-bench/experiments/processes.sh"
build_if_missing || exit 1
export CHIVECROSS_JAVA_OPTIONS="${CHIVECROSS_JAVA_OPTIONS:--Xmx512m}"
ticks_per_second=$(getconf CLK_TCK)

cpu_millis() { # PID: processor time used so far, in ms
  awk -v hz="$ticks_per_second" '{ sub(/^.*\) /, ""); print ($12 + $13) * 1000 / hz }' "/proc/$1/stat"
}
heap_kib() { # PID: live heap after a collection, in KiB
  jcmd "$1" GC.run > /dev/null
  jcmd "$1" GC.heap_info | awk '/ used / && /total/ { match($0, /used [0-9]+K/); print substr($0, RSTART + 5, RLENGTH - 6); exit }'
}
# fit: reads "x y" lines; prints the least-squares slope, the value at 0 and the largest residual
fit() {
  awk '{ n++; x[n] = $1; y[n] = $2; sx += $1; sy += $2; sxx += $1 * $1; sxy += $1 * $2 }
    END { slope = (n * sxy - sx * sy) / (n * sxx - sx * sx); base = (sy - slope * sx) / n
      for (i = 1; i <= n; i++) { r = y[i] - base - slope * x[i]; if (r < 0) r = -r; if (r > worst) worst = r }
      printf "  slope %.6g, at zero %.6g, largest residual %.3g\n", slope, base, worst }'
}

start_process upstream.log "$home/bin/chivecross-standin" upstream --files "$files" --control "$network.99:8999"
wait_for "http://$network.99:8999/targets" upstream.log || exit 1
start_process entry.log "$home/bin/chivecross-entry" --listen "$network.1:8000" --files "$files"
entry=$last_pid
wait_for "http://$network.1:8000/chivecross/entries?caller=capacity" entry.log || exit 1
load() { # RATE SECONDS
  "$home/bin/chivecross-load" --files "$files" --entries "$network.1:8000" --rate "$1" --seconds "$2" \
    --mix read=100 --work-micros 100 --callers 20 --warm-up-seconds 0 > "$work/load.out"
}

data_path() {
  load 2500 20
  for rate in 250 500 1000 1500 2000; do
    before=$(cpu_millis "$entry")
    load "$rate" 6
    after=$(cpu_millis "$entry")
    awk -v r="$rate" -v b="$before" -v a="$after" 'BEGIN { printf "%d %.1f\n", r * 6, a - b }'
  done | tee "$work/data-path.points" | awk '{ print "  requests " $1 ", processor ms " $2 }'
  echo "data path: processor ms for a request"
  fit < "$work/data-path.points"
}

directory() {
  local url="http://$network.1:8000/chivecross/entries?caller=c[1-1000]"
  for _ in $(seq 20); do curl -s -o /dev/null "$url"; done
  for rounds in 4 8 16 24; do
    before=$(cpu_millis "$entry")
    for _ in $(seq "$rounds"); do curl -s -o /dev/null "$url"; done
    after=$(cpu_millis "$entry")
    awk -v n="$rounds" -v b="$before" -v a="$after" 'BEGIN { printf "%d %.1f\n", n * 1000, a - b }'
  done | tee "$work/directory.points" | awk '{ print "  answers " $1 ", processor ms " $2 }'
  echo "directory: processor ms for an answer on a kept connection"
  fit < "$work/directory.points"
}

connections() {
  ulimit -n 8192 2> /dev/null
  local fds=()
  for count in 0 500 1000 2000 4000; do
    while [ "${#fds[@]}" -lt "$count" ]; do
      exec {fd}<> "/dev/tcp/$network.1/8000"
      printf 'GET /chivecross/entries?caller=x HTTP/1.1\r\nHost: x\r\n\r\n' >&"$fd"
      fds+=("$fd")
    done
    sleep 1
    echo "$count $(heap_kib "$entry")"
  done | tee "$work/connections.points" | awk '{ print "  caller connections " $1 ", live heap KiB " $2 }'
  echo "caller connections: heap KiB for a connection"
  fit < "$work/connections.points"
}

ticker_millis() { # PID: processor time of the thread that runs the systems, in ms
  local task
  for task in /proc/"$1"/task/*; do
    [ "$(cat "$task/comm")" = ticker ] \
      && awk -v hz="$ticks_per_second" '{ sub(/^.*\) /, ""); print ($12 + $13) * 1000 / hz }' "$task/stat"
  done
}

# generate SERVICES DIR: writes a file set with 11 targets a service
generate() {
  mkdir -p "$2/tenants" "$2/services" "$2/rules"
  sed 's/^name: .*/name: generated/' "$files/deployment.yaml" > "$2/deployment.yaml"
  cp "$files"/tenants/*.yaml "$2/tenants/"
  local owner
  owner=$(sed -n 's/^owner: //p' "$files/services/bookings.yaml")
  for s in $(seq "$1"); do
    {
      echo "name: s$s"
      sed -n '/^owner:/,/^targets:/p' "$files/services/bookings.yaml"
      echo "  - dataCentre: dc1"
      echo "    slots: 6"
      echo "    connections: 320"
      echo "    addresses:"
      for n in $(seq 11); do echo "      - \"127.$((60 + s / 250)).$((s % 250)).$n:8080\""; done
    } > "$2/services/s$s.yaml"
    printf 'rules:\n  - host: "s%s.test"\n    pathPrefix: /\n    methods: [GET]\n    service: s%s\n    requestClass: read\n' \
      "$s" "$s" > "$2/rules/s$s.yaml"
  done
}

control() {
  local pids=() sizes=(3 65 130 260) before=() i
  for i in 0 1 2 3; do
    generate "${sizes[$i]}" "$work/set-$i"
    start_process "control-$i.log" "$home/bin/chivecross-entry" --listen "$network.$((20 + i)):8000" \
      --files "$work/set-$i"
    pids+=("$last_pid")
    wait_for "http://$network.$((20 + i)):8000/chivecross/entries?caller=c" "control-$i.log" || return 1
  done
  sleep 20
  for i in 0 1 2 3; do before+=("$(ticker_millis "${pids[$i]}")"); done
  sleep 20
  for i in 0 1 2 3; do
    awk -v n="$((sizes[i] * 11))" -v b="${before[$i]}" -v a="$(ticker_millis "${pids[$i]}")" \
      'BEGIN { printf "%d %.3f\n", n, (a - b) / 200 }'
  done | tee "$work/control.points" | awk '{ print "  targets " $1 ", systems each tick: " $2 " % of a core" }'
  echo "control: % of a core for a target"
  fit < "$work/control.points"
  for i in 0 1 2 3; do echo "$((sizes[i] * 11)) $(heap_kib "${pids[$i]}")"; done \
    | tee "$work/heap.points" | awk '{ print "  targets " $1 ", live heap KiB " $2 }'
  echo "control: heap KiB for a target"
  fit < "$work/heap.points"
}

idle() {
  before=$(cpu_millis "$entry")
  sleep 10
  after=$(cpu_millis "$entry")
  awk -v b="$before" -v a="$after" 'BEGIN { printf "idle entry: %.2f %% of a core\n", (a - b) / 100 }'
}

for part in "${@:-data_path directory connections idle control}"; do
  for name in $part; do "${name//-/_}"; done
done
