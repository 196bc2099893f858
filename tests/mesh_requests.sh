#!/bin/bash
# Guards against: a truncated or late response, or one to another request, that
# a caller gets as a whole one; "not-run" for a request that was run; a second
# run of a non-idempotent request by resends through the same and other nodes,
# concurrent and later, after the loss of a node and after a restart of all
# nodes; non-idempotent requests that run without a claim; work that continues
# after its caller has closed the connection.
set -u
cd "$(dirname "$0")/.." || exit 1
. scripts/mesh.sh
. scripts/mesh_request.sh
mesh_setup

cat >"$MESH_DIR/doc.json" <<'JSON'
{"format": 1, "callers": {"header": "x-caller-id"},
 "headers": ["x-caller-id"],
 "services": [
  {"name": "orders", "slots": 16, "connections": 64, "kinds": [
   {"name": "place", "method": "POST", "path": "/", "importance": 90,
    "idempotent": false, "timeout_ms": 4000, "retries": 1},
   {"name": "read", "method": "GET", "path": "/", "importance": 50,
    "idempotent": true, "timeout_ms": 1500, "retries": 2}]}]}
JSON

# send_order NODE PATH KEY BODY: sends a non-idempotent request.
send_order () {
  mesh_send_request "$1" orders POST "$2" -H "Idempotency-Key: $3" \
    -H "X-Caller-Id: c1" -d "$4"
}

start_servers () {
  for node in n1 n2; do
    mesh_start_backend "fake-$node" "$node" orders \
      --slots 16 --service-us 2000 \
      --truncate-path /cut --late-path /late --late-ms 2500 \
      --long-path /slow --long-factor 300 --answer-bytes 20
  done
}

mesh_start_control_nodes n1 n2 n3
mesh_apply_first_document n1 "$MESH_DIR/doc.json" n1 n2 n3
start_servers
mesh_wait_until 10 mesh_has_serving n3 orders 2 \
  || mesh_fail "servers are not listed"

# A truncated or late response is reported as an error, never as a whole one.
mesh_send_request n3 orders GET /cut/bytes/5000
mesh_expect "truncated response" "$REPLY" "502 answer-incomplete unknown"
mesh_send_request n3 orders GET /late/bytes/100
# The fake server returns 504 itself at the deadline that the node sends it.
case $REPLY in
  504|"504 deadline-running unknown") ;;
  *) mesh_fail "late response: $REPLY" ;;
esac
for i in 1 2 3 4 5 6; do
  mesh_send_request n3 orders GET "/after/$i"
  mesh_expect "status after a late response" "$REPLY" 200
  case $MESH_RESPONSE_BODY in
    "path /after/$i"*) ;;
    *) mesh_fail "response to another request: $MESH_RESPONSE_BODY" ;;
  esac
done

# A request that is reported "not-run" was not run.
send_order n3 /refused "" x
mesh_expect "order without a key" "$REPLY" \
  "400 idempotency-key-required not-run"
mesh_expect "runs without a key" "$(mesh_count_starts ' POST /refused ')" 0

# Ten concurrent resends through three nodes: one run, equal responses.
for i in 1 2 3 4 5 6 7 8 9 10; do
  node=n$((i % 3 + 1))
  curl -s -m 15 -H "Host: orders" -H "Idempotency-Key: k-once" \
    -H "X-Caller-Id: c1" -d coil -o "$MESH_DIR/response.$i" \
    "http://${MESH_LISTEN[$node]}/slow/once" &
  resend_pids[i]=$!
done
wait "${resend_pids[@]}"
mesh_expect "runs of ten resends" "$(mesh_count_starts ' POST /slow/once ')" 1
mesh_expect "responses to ten resends" \
  "$(cat "$MESH_DIR"/response.* | cksum | cut -d' ' -f1)" \
  "$(for i in 1 2 3 4 5 6 7 8 9 10; do cat "$MESH_DIR/response.1"; done \
    | cksum | cut -d' ' -f1)"
send_order n2 /slow/once k-once other
mesh_expect "another body with the same key" "$REPLY" "422 key-reused not-run"

# The node of the backend server is lost while the order runs.
send_order n1 /done k-done coil
done_body=$MESH_RESPONSE_BODY
for node in n1 n2; do
  curl -s -m 15 -o /dev/null -H "Host: orders" -H "X-Caller-Id: c1" \
    -H "Idempotency-Key: k-lost-$node" -d coil \
    "http://${MESH_LISTEN[n3]}/slow/lost/$node" &
  lost_pids[${node#n}]=$!
done
both_run () { [ "$(mesh_count_starts /slow/lost/)" -eq 2 ]; }
mesh_wait_until 5 both_run || mesh_fail "orders do not run"
mesh_kill n2
wait "${lost_pids[@]}"
for node in n1 n2; do
  for resend in 1 2 3; do
    send_order n3 "/slow/lost/$node" "k-lost-$node" coil
    case $REPLY in
      200|"502 claim-unknown unknown") ;;
      *) mesh_fail "resend after the loss of a node: $REPLY" ;;
    esac
  done
  mesh_expect "runs after the loss of a node" \
    "$(mesh_count_starts " POST /slow/lost/$node ")" 1
done

# All nodes are killed and restarted.
for node in n1 n3; do mesh_kill "$node"; done
for node in n1 n2 n3; do mesh_start_node "$node" "domain-$node" --control; done
for node in n1 n2 n3; do
  mesh_wait_until 15 mesh_is_ready "$node" \
    || mesh_fail "$node is not ready again"
done
mesh_wait_until 10 mesh_has_serving n3 orders 2 \
  || mesh_fail "servers are not listed again after a full restart"
send_order n3 /done k-done coil
mesh_expect "response after a full restart" "$MESH_RESPONSE_BODY" "$done_body"
mesh_expect "runs after a full restart" "$(mesh_count_starts ' POST /done ')" 1

# Without a quorum no non-idempotent request runs, and idempotent ones succeed.
mesh_kill n2
mesh_kill n3
send_order n1 /alone k-alone coil
mesh_expect "order without a quorum" "$REPLY" "503 claim-unavailable not-run"
mesh_expect "runs without a quorum" "$(mesh_count_starts ' POST /alone ')" 0
mesh_send_request n1 orders GET /alone
mesh_expect "read without a quorum" "$REPLY" 200

# The request of a caller that closes its connection is cancelled.
curl -s -m 0.3 -o /dev/null -H "Host: orders" \
  "http://${MESH_LISTEN[n1]}/slow/gone" || true
cancelled () { grep -q ' cancelled GET /slow/gone ' "$MESH_DIR"/*.journal; }
mesh_wait_until 5 cancelled || mesh_fail "the request was not cancelled"

mesh_finish
