#!/bin/bash
# Guards against an upload that is refused while the node has paused reading it,
# and whose caller gets no answer, and against a node that waits for that caller
# when it stops.
set -u
cd "$(dirname "$0")/.." || exit 1
. scripts/mesh.sh
. scripts/mesh_request.sh
mesh_setup

cat >"$MESH_DIR/doc.json" <<'JSON'
{"format": 1, "callers": {"header": "x-caller-id", "share_percent": 100},
 "headers": ["x-caller-id"],
 "services": [
  {"name": "orders", "slots": 1, "connections": 8, "queue": 8, "kinds": [
   {"name": "upload", "method": "PUT", "path": "/", "importance": 50,
    "idempotent": true, "timeout_ms": 2000, "retries": 0},
   {"name": "read", "method": "GET", "path": "/", "importance": 50,
    "idempotent": true, "timeout_ms": 20000, "retries": 0}]}]}
JSON

mesh_start_control_nodes n1
mesh_apply_first_document n1 "$MESH_DIR/doc.json" n1
mesh_start_backend fake n1 orders --slots 1 --service-us 2000 \
  --long-path /slow --long-factor 3000 --answer-bytes 20
mesh_wait_until 10 mesh_has_serving n1 orders 1 \
  || mesh_fail "server is not listed"

# The only slot is taken, so that the upload waits for it beyond its time.
curl -s -m 20 -o /dev/null -H "Host: orders" \
  "http://${MESH_LISTEN[n1]}/slow/first" &
first=$!
runs () { [ "$(mesh_count_starts /slow/first)" -eq 1 ]; }
mesh_wait_until 5 runs || mesh_fail "the first request does not run"
head -c 20000000 /dev/zero >"$MESH_DIR/upload"
mesh_send_request n1 orders PUT /upload -H "X-Caller-Id: c1" -H "Expect:" \
  -T "$MESH_DIR/upload"
case $REPLY in
  "504 deadline-"*) ;;
  *) mesh_fail "refused upload: $REPLY" ;;
esac
wait "$first"
mesh_stop n1 20 || mesh_fail "n1 does not stop"
mesh_finish
