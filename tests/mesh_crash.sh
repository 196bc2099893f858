#!/bin/bash
# Guards against a request that crashes every backend server that runs it
# because it is retried and resent, and against blocking other requests that
# were in flight on the same servers.  The servers are restarted at once, and
# the caller resends the request through all nodes.
set -u
cd "$(dirname "$0")/.." || exit 1
. scripts/mesh.sh
. scripts/mesh_request.sh
mesh_setup

cat >"$MESH_DIR/doc.json" <<'JSON'
{"format": 1, "callers": {"header": "x-caller-id"},
 "headers": ["x-caller-id"],
 "services": [
  {"name": "search", "slots": 16, "connections": 64, "kinds": [
   {"name": "read", "method": "GET", "path": "/", "importance": 50,
    "idempotent": true, "timeout_ms": 2000, "retries": 2}]}]}
JSON

# start_server NODE
start_server () {
  mesh_start_backend "fake-$1" "$1" search --slots 16 --service-us 1000 \
    --crash-path /crash --long-path /slow --long-factor 300
}

mesh_start_control_nodes n1 n2 n3
mesh_reserve_node_ports n4
mesh_start_node n4 domain-n4
mesh_wait_until 10 mesh_port_is_open "${MESH_ADMIN[n4]#*:}" \
  || mesh_fail "n4 does not start"
mesh_apply_first_document n1 "$MESH_DIR/doc.json" n1 n2 n3 n4
for node in n1 n2 n3 n4; do start_server "$node"; done
mesh_wait_until 10 mesh_has_serving n1 search 4 \
  || mesh_fail "servers are not listed"

# Other requests are in flight on every server.
for node in n1 n2 n3 n4; do
  curl -s -m 15 -o /dev/null -H "Host: search" \
    "http://${MESH_LISTEN[$node]}/slow/other/$node" &
done

# The caller resends its request; the servers are restarted at once.
for attempt in 1 2 3 4 5 6 7 8; do
  for node in n1 n2 n3 n4; do
    mesh_is_running "fake-$node" || start_server "$node"
  done
  node=n$((attempt % 4 + 1))
  mesh_send_request "$node" search GET /crash/1 -H "X-Caller-Id: c1"
  echo "attempt $attempt at $node: $REPLY"
done
# A request is quarantined after it has crashed two servers.
starts=$(mesh_count_starts ' GET /crash/1 ')
echo "servers that ran the crashing request: $starts (bound 2)"
[ "$starts" -le 2 ] || mesh_fail "the request ran on $starts servers"
[ "$starts" -ge 1 ] || mesh_fail "the request was never run"
mesh_expect "last attempt" "$REPLY" "503 quarantined not-run"

# After a restart of the servers other requests succeed, also those that were
# in flight.
for node in n1 n2 n3 n4; do mesh_is_running "fake-$node" || start_server "$node"; done
mesh_wait_until 10 mesh_has_serving n1 search 4 \
  || mesh_fail "restarted servers are not listed as serving"
for node in n1 n2 n3 n4; do
  mesh_send_request "$node" search GET "/slow/other/$node"
  mesh_expect "other request at $node" "$REPLY" 200
done
mesh_finish
