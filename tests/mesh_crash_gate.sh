#!/bin/bash
# A request crashes each backend server that runs it, and comes again at all
# nodes, under the platform's settings with real processes.  Guards against a
# request that is passed on after it has crashed several servers, and against
# other requests that are refused because they were in flight with it.
set -u
cd "$(dirname "$0")/.." || exit 1
. scripts/mesh.sh
. scripts/mesh_platform.sh
. scripts/mesh_request.sh
mesh_setup
platform_reserve_ports 127.0.0.1 127.0.0.2 127.0.0.3

# Three crashes quarantine the request; the third one may come at the same time
# as another one.
crashes_max=4
# The other requests are sent one after the other, so a crash meets one of them.
innocents_lost_max=$crashes_max

fail () {
  echo "FAIL: $1"
  grep -h "crash marks\|quarantined" "$MESH_DIR"/*.log | tail -n 20
  exit 1
}

# start_server N: starts the server beside node N, with a new id.
declare -A boot
start_server () {
  boot[$1]=$((${boot[$1]:-0} + 1))
  platform_start_backend "s$1" "127.0.0.$1" "i-$1-${boot[$1]}" \
    --service-us 50000 --slots 16 --crash-path /b/crash
}

# run_round N: sends heartbeats of all servers that run, and starts those again
# that were down for two rounds.
down=()
run_round () {
  local n
  for n in 5 6 7 8; do
    if mesh_is_running "s$n"; then
      platform_send_heartbeat "i-$n-${boot[$n]}" "127.0.0.$n" \
        "127.0.0.$n:$PLATFORM_SERVER_PORT" b "$1" ready \
        $((1000 + ${boot[$n]}))
    elif [ $((down[n]++)) -ge 2 ]; then
      down[n]=0
      start_server "$n"
    fi
  done
  sleep 0.4
}

# innocents: sends other requests, and writes the statuses.
innocents () {
  local i
  for ((i = 0; ; i++)); do
    [ -e "$MESH_DIR/end" ] && return
    platform_get_status 127.0.0.4 "/b/$((i % 40))" >>"$MESH_DIR/statuses"
    echo >>"$MESH_DIR/statuses"
  done
}

for i in 1 2 3; do platform_start_replica "c$i" "127.0.0.$i" true; done
platform_start_node n4 127.0.0.4 a
for i in 5 6 7 8; do platform_start_node "n$i" "127.0.0.$i" b; done
platform_print_config 2 /two/ b >"$MESH_DIR/r2"
mesh_wait_until 10 platform_apply_config 127.0.0.1 0 "$MESH_DIR/r2" \
  || fail "the configuration is not accepted"
for i in 5 6 7 8; do start_server "$i"; done
round=1
for ((; round <= 5; round++)); do run_round "$round"; done
mesh_wait_until 10 platform_status_is 127.0.0.4 /b/1 200 \
  || fail "no server is used"
innocents &
MESH_PID[innocents]=$!
for attempt in 1 2 3 4 5 6 7 8 9 10; do
  echo "attempt $attempt: $(platform_get_status 127.0.0.4 /b/crash)," \
    "crashes $(mesh_count_starts ' GET /b/crash ')"
  for i in 1 2 3; do run_round "$round" && ((round++)); done
done
touch "$MESH_DIR/end"
sleep 1
crashes=$(mesh_count_starts ' GET /b/crash ')
sent=$(grep -c . "$MESH_DIR/statuses")
lost=$(grep -cv '^200$' "$MESH_DIR/statuses")
echo "servers that ran the request: $crashes (bound $crashes_max);" \
  "other requests: $lost of $sent not served (bound $innocents_lost_max)"
[ "$crashes" -ge 3 ] || fail "the request was not run three times"
[ "$crashes" -le "$crashes_max" ] || fail "the request ran on $crashes servers"
[ "$lost" -le "$innocents_lost_max" ] || fail "other requests were lost"
platform_status_is 127.0.0.4 /b/crash 503 || fail "the request is not refused"
echo "crash_gate: ok"
