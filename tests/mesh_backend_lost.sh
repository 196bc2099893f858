#!/bin/bash
# Kills a backend server under load, several times.  Guards against a node that
# crashes together with its backend server (a refused connection freed the
# request that it was opened for), and a node that does not resume work when
# the server is back.
set -u
cd "$(dirname "$0")/.." || exit 1
. scripts/mesh.sh
. scripts/mesh_state.sh
mesh_setup
state_set_control_nodes a b c
state_start_control a b c
state_apply_first_document a b c
mesh_start_backend fake a orders --service-us 20000

request_succeeds () {
  [ "$(curl -s -m 2 -o /dev/null -w '%{http_code}' -H 'Host: orders' \
    "http://${MESH_LISTEN[a]}/orders/1")" = 200 ]
}

state_expect_within 8 "the first request fails" request_succeeds
mesh_start_process load "$MESH_BIN/rudder-load" \
  --host orders --rate 400 --seconds 8 \
  --target "${MESH_LISTEN[a]},${MESH_LISTEN[b]}" --timeout-ms 1000 \
  --request "GET /orders/{n}/bytes/300 3" \
  --request "POST /orders/{n}/bytes/100 1 bytes=500 key"
for round in 1 2 3 4 5 6; do
  sleep 0.7
  mesh_kill fake
  sleep 0.3
  mesh_is_running a || { state_fail "node a crashed in round $round"; break; }
  mesh_start_backend fake a orders --service-us 20000
done
state_expect_within 8 "requests fail after the last restart" request_succeeds
mesh_is_running a || state_fail "node a crashed"
echo "backend server killed $round times"
state_finish
