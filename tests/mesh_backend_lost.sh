#!/bin/bash
# A backend server that is killed under load, several times.  Guards against a
# node that is lost together with its backend server (a refused connection
# once freed the request that it was for), and one that does not take up work
# when the server is back.
set -u
cd "$(dirname "$0")/.." || exit 1
. scripts/mesh.sh
. scripts/mesh_state.sh
mesh_begin
state_nodes a b c
state_start a b c
state_begin a b c
mesh_fake fake a orders --service-us 20000

served () {
  [ "$(curl -s -m 2 -o /dev/null -w '%{http_code}' -H 'Host: orders' \
    "http://${MESH_LISTEN[a]}/orders/1")" = 200 ]
}

state_must_in 8 "first request" served
mesh_start load "$MESH_BIN/rudder-load" --host orders --rate 400 --seconds 8 \
  --target "${MESH_LISTEN[a]},${MESH_LISTEN[b]}" --timeout-ms 1000 \
  --request "GET /orders/{n}/bytes/300 3" \
  --request "POST /orders/{n}/bytes/100 1 bytes=500 key"
for round in 1 2 3 4 5 6; do
  sleep 0.7
  mesh_kill fake
  sleep 0.3
  mesh_alive a || { state_fail "node lost in round $round"; break; }
  mesh_fake fake a orders --service-us 20000
done
state_must_in 8 "no request served at the end" served
mesh_alive a || state_fail "node a was lost"
echo "backend server killed $round times"
state_finish
