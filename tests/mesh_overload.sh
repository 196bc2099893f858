#!/bin/bash
# Guards against shedding orders while less important requests are admitted,
# and against a mesh that stays overloaded after the load has ended.  Two
# servers with a capacity of 400 calls a second get 1200; one call in eight is
# an order.
set -u
cd "$(dirname "$0")/.." || exit 1
. scripts/mesh.sh
. scripts/mesh_request.sh
mesh_setup

cat >"$MESH_DIR/doc.json" <<'JSON'
{"format": 1, "callers": {"header": "x-caller-id"},
 "headers": ["x-caller-id"],
 "services": [
  {"name": "shop", "slots": 4, "connections": 64, "queue": 40, "kinds": [
   {"name": "order", "method": "POST", "path": "/", "importance": 95,
    "idempotent": false, "timeout_ms": 3000, "retries": 1},
   {"name": "glance", "method": "GET", "path": "/", "importance": 10,
    "idempotent": true, "timeout_ms": 1000, "retries": 1}]}]}
JSON

# load_count LABEL WORD: prints the number after WORD in the line of LABEL of
# the load tool's output.
load_count () {
  sed -n "s/^label $1 .*\b$2 \([0-9]*\).*/\1/p" "$MESH_DIR/load"
}

mesh_start_control_nodes n1 n2 n3
mesh_apply_first_document n1 "$MESH_DIR/doc.json" n1 n2 n3
for node in n1 n2; do
  mesh_start_backend "fake-$node" "$node" shop --slots 4 --service-us 20000 \
    --answer-bytes 50
done
mesh_wait_until 10 mesh_has_serving n3 shop 2 \
  || mesh_fail "servers are not listed"

"$MESH_BIN/rudder-load" --target "${MESH_LISTEN[n3]}" --host shop --rate 1200 \
  --seconds 6 --seed 4 --callers 20 --timeout-ms 5000 \
  --request "POST /o/{n} 1 bytes=40 key label=order" \
  --request "GET /g/{n} 7 label=glance" >"$MESH_DIR/load" 2>&1 \
  || mesh_fail "a response was wrong"
cat "$MESH_DIR/load"
orders=$(load_count order calls)
whole=$(load_count order whole)
[ "${orders:-0}" -gt 300 ] || mesh_fail "only ${orders:-0} orders were sent"
[ $((whole * 100)) -ge $((orders * 99)) ] \
  || mesh_fail "$whole of $orders orders got a whole response (goal 99 %)"
[ "$(load_count glance refused)" -gt 0 ] || mesh_fail "no request was shed"

# Right after the overload a call succeeds.
mesh_send_request n3 shop GET /after
mesh_expect "call after the overload" "$REPLY" 200
mesh_finish
