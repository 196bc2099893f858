#!/bin/bash
# Guards against a server that is no longer used, or requests that time out one
# after another, because its open connections are silent for good while new
# ones work.  A relay between node and server makes them silent.
set -u
cd "$(dirname "$0")/.." || exit 1
. scripts/mesh.sh
. scripts/mesh_request.sh
mesh_setup

cat >"$MESH_DIR/doc.json" <<'JSON'
{"format": 1, "callers": {"header": "x-caller-id"},
 "headers": ["x-caller-id"], "retry": {"budget_percent": 50},
 "services": [
  {"name": "search", "slots": 16, "connections": 64, "kinds": [
   {"name": "read", "method": "GET", "path": "/", "importance": 50,
    "idempotent": true, "timeout_ms": 2000, "retries": 2}]}]}
JSON

mesh_start_control_nodes n1 n2 n3
mesh_apply_first_document n1 "$MESH_DIR/doc.json" n1 n2 n3
mesh_reserve_port
relay=127.0.0.1:$REPLY
mesh_start_process fake "$MESH_BIN/rudder-fake" \
  --listen "${MESH_BACKEND[n1]}" \
  --service search --slots 16 --service-us 2000 \
  --journal "$MESH_DIR/fake.journal"
mesh_start_process relay "$MESH_BIN/rudder-relay" --listen "$relay" \
  --to "${MESH_BACKEND[n1]}"
mesh_wait_until 5 mesh_port_is_open "${relay#*:}" \
  || mesh_fail "relay does not listen"

# Announces the server with the relay's address.
announce () {
  curl -s -m 2 -o /dev/null -X PUT -d "{\"service\": \"search\",
    \"address\": \"$relay\", \"slots\": 16, \"connections\": 64}" \
    "http://${MESH_ADMIN[n1]}/v1/backend"
}
announce_repeatedly () { while :; do announce; sleep 1; done; }
announce_repeatedly &
MESH_PID[announce]=$!
mesh_wait_until 10 mesh_has_serving n2 search 1 \
  || mesh_fail "server is not listed"

# run_load SEED: sends requests for two seconds; writes the result to "load".
run_load () {
  "$MESH_BIN/rudder-load" --target "${MESH_LISTEN[n2]}" --host search \
    --concurrency 8 --seconds 2 --seed "$1" --timeout-ms 4000 \
    --request "GET /a/{n}/bytes/300 1 label=read" >"$MESH_DIR/load" 2>&1 \
    || mesh_fail "a response was wrong"
  cat "$MESH_DIR/load"
}

# load_count WORD: prints the number after WORD in the result of the load.
load_count () {
  sed -n "s/^label read .*\b$1 \([0-9]*\).*/\1/p" "$MESH_DIR/load"
}

run_load 1
mesh_expect "whole responses before" "$(load_count whole)" "$(load_count calls)"
mesh_signal relay USR1
run_load 2
echo "retries at the server's node:" \
  "$(mesh_metric n1 'rudder_retries_total{reason="connection-silent"}')," \
  "hedged: $(mesh_metric n2 'rudder_retries_total{reason="hedge"}')"
# Only requests that were sent on a silent connection may fail; the pool has no
# more connections than there are callers.
failed=$(($(load_count calls) - $(load_count whole)))
echo "requests that failed: $failed of $(load_count calls)"
[ "$failed" -le 8 ] || mesh_fail "$failed requests failed"
[ "$(load_count whole)" -gt 100 ] || mesh_fail "the server was not used"
run_load 3
mesh_expect "whole responses after" "$(load_count whole)" "$(load_count calls)"
mesh_has_serving n2 search 1 || mesh_fail "the server is no longer listed"
mesh_finish
