#!/bin/bash
# Guards against one request that crashes every backend server that runs it,
# and against stopping innocent requests that were in flight with it.  The
# servers are restarted at once, and the caller resends through all nodes.
set -u
cd "$(dirname "$0")/.." || exit 1
. scripts/mesh.sh
. scripts/mesh_request.sh
mesh_begin

cat >"$MESH_DIR/doc.json" <<'JSON'
{"format": 1, "callers": {"header": "x-caller-id"},
 "headers": ["x-caller-id"],
 "services": [
  {"name": "search", "slots": 16, "connections": 64, "kinds": [
   {"name": "read", "method": "GET", "path": "/", "importance": 50,
    "idempotent": true, "timeout_ms": 2000, "retries": 2}]}]}
JSON

serve () {
  mesh_fake "fake-$1" "$1" search --slots 16 --service-us 1000 \
    --crash-path /crash --long-path /slow --long-factor 300
}

mesh_control n1 n2 n3
mesh_ports n4
mesh_node n4 domain-n4
mesh_until 10 mesh_listens "${MESH_ADMIN[n4]#*:}" || mesh_fail "n4"
mesh_document n1 "$MESH_DIR/doc.json" n1 n2 n3 n4
for node in n1 n2 n3 n4; do serve "$node"; done
mesh_until 10 mesh_serving n1 search 4 || mesh_fail "servers are not listed"

# Innocent requests in flight on every server.
for node in n1 n2 n3 n4; do
  curl -s -m 15 -o /dev/null -H "Host: search" \
    "http://${MESH_LISTEN[$node]}/slow/innocent/$node" &
done

# The caller sends its request again and again; servers come back at once.
for try in 1 2 3 4 5 6 7 8; do
  for node in n1 n2 n3 n4; do
    mesh_alive "fake-$node" || serve "$node"
  done
  node=n$((try % 4 + 1))
  mesh_call "$node" search GET /crash/1 -H "X-Caller-Id: c1"
  echo "try $try at $node: $REPLY"
done
starts=$(mesh_starts ' GET /crash/1 ')
echo "servers that ran the crashing request: $starts (bound 2)"
[ "$starts" -le 2 ] || mesh_fail "the request ran on $starts servers"
[ "$starts" -ge 1 ] || mesh_fail "the request never ran"
mesh_expect "last try" "$REPLY" "503 quarantined not-run"

# The servers are back, other requests run, also the innocent ones.
for node in n1 n2 n3 n4; do mesh_alive "fake-$node" || serve "$node"; done
mesh_until 10 mesh_serving n1 search 4 || mesh_fail "servers do not return"
for node in n1 n2 n3 n4; do
  mesh_call "$node" search GET "/slow/innocent/$node"
  mesh_expect "innocent request at $node" "$REPLY" 200
done
mesh_finish
