#!/bin/bash
# Guards against a server that is given up, or requests that wait for their
# deadline one after another, because open connections went silent for good
# while new ones work.  A relay between node and server forgets them.
set -u
cd "$(dirname "$0")/.." || exit 1
. scripts/mesh.sh
. scripts/mesh_request.sh
mesh_begin

cat >"$MESH_DIR/doc.json" <<'JSON'
{"format": 1, "callers": {"header": "x-caller-id"},
 "headers": ["x-caller-id"], "retry": {"budget_percent": 50},
 "services": [
  {"name": "search", "slots": 16, "connections": 64, "kinds": [
   {"name": "read", "method": "GET", "path": "/", "importance": 50,
    "idempotent": true, "timeout_ms": 2000, "retries": 2}]}]}
JSON

mesh_control n1 n2 n3
mesh_document n1 "$MESH_DIR/doc.json" n1 n2 n3
mesh_port
relay=127.0.0.1:$REPLY
mesh_start fake "$MESH_BIN/rudder-fake" --listen "${MESH_BACKEND[n1]}" \
  --service search --slots 16 --service-us 2000 \
  --journal "$MESH_DIR/fake.journal"
mesh_start relay "$MESH_BIN/rudder-relay" --listen "$relay" \
  --to "${MESH_BACKEND[n1]}"
mesh_until 5 mesh_listens "${relay#*:}" || mesh_fail "relay does not listen"

# The server is announced with the relay's address.
announce () {
  curl -s -m 2 -o /dev/null -X PUT -d "{\"service\": \"search\",
    \"address\": \"$relay\", \"slots\": 16, \"connections\": 64}" \
    "http://${MESH_ADMIN[n1]}/v1/backend"
}
announcer () { while :; do announce; sleep 1; done; }
announcer &
MESH_PID[announcer]=$!
mesh_until 10 mesh_serving n2 search 1 || mesh_fail "server is not listed"

load () {
  "$MESH_BIN/rudder-load" --target "${MESH_LISTEN[n2]}" --host search \
    --concurrency 8 --seconds 2 --seed "$1" --timeout-ms 4000 \
    --request "GET /a/{n}/bytes/300 1 label=read" >"$MESH_DIR/load" 2>&1 \
    || mesh_fail "a wrong answer"
  cat "$MESH_DIR/load"
}

count () {
  sed -n "s/^label read .*\b$1 \([0-9]*\).*/\1/p" "$MESH_DIR/load"
}

load 1
mesh_expect "whole answers before" "$(count whole)" "$(count calls)"
mesh_signal relay USR1
load 2
echo "repeated at the server's node:" \
  "$(mesh_metric n1 'rudder_retries_total{reason="connection-silent"}')," \
  "hedged: $(mesh_metric n2 'rudder_retries_total{reason="hedge"}')"
# At most the requests that met a silent connection may be lost: the pool had
# no more connections than callers.
lost=$(($(count calls) - $(count whole)))
echo "requests lost: $lost of $(count calls)"
[ "$lost" -le 8 ] || mesh_fail "$lost requests were lost"
[ "$(count whole)" -gt 100 ] || mesh_fail "the server was given up"
load 3
mesh_expect "whole answers after" "$(count whole)" "$(count calls)"
mesh_serving n2 search 1 || mesh_fail "the server is not listed any more"
mesh_finish
