#!/bin/bash
# Guards against: a truncated, late or foreign answer given to a caller as
# whole; "not-run" for a request that ran; a second run of a non-idempotent
# request by resends at the same and at other nodes, at once and later, after
# the loss of a node and after a restart of everything; requests that run
# without a claim; work for a caller that has gone.
set -u
cd "$(dirname "$0")/.." || exit 1
. scripts/mesh.sh
. scripts/mesh_request.sh
mesh_begin

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

# order NODE PATH KEY BODY
order () {
  mesh_call "$1" orders POST "$2" -H "Idempotency-Key: $3" \
    -H "X-Caller-Id: c1" -d "$4"
}

start_fakes () {
  for node in n1 n2; do
    mesh_fake "fake-$node" "$node" orders --slots 16 --service-us 2000 \
      --truncate-path /cut --late-path /late --late-ms 2500 \
      --long-path /slow --long-factor 300 --answer-bytes 20
  done
}

mesh_control n1 n2 n3
mesh_document n1 "$MESH_DIR/doc.json" n1 n2 n3
start_fakes
mesh_until 10 mesh_serving n3 orders 2 || mesh_fail "servers are not listed"

# Whole answers, or a clear refusal.
mesh_call n3 orders GET /cut/bytes/5000
mesh_expect "truncated answer" "$REPLY" "502 answer-incomplete unknown"
mesh_call n3 orders GET /late/bytes/100
# The fake server gives up at the deadline that the node tells it.
case $REPLY in
  504|"504 deadline-running unknown") ;;
  *) mesh_fail "late answer: $REPLY" ;;
esac
for i in 1 2 3 4 5 6; do
  mesh_call n3 orders GET "/after/$i"
  mesh_expect "status after a late answer" "$REPLY" 200
  case $MESH_BODY in
    "path /after/$i"*) ;;
    *) mesh_fail "answer of another request: $MESH_BODY" ;;
  esac
done

# "Not run" is true.
order n3 /refused "" x
mesh_expect "order without a key" "$REPLY" \
  "400 idempotency-key-required not-run"
mesh_expect "runs without a key" "$(mesh_starts ' POST /refused ')" 0

# Ten resends at once through three nodes: one run, one answer.
for i in 1 2 3 4 5 6 7 8 9 10; do
  node=n$((i % 3 + 1))
  curl -s -m 15 -H "Host: orders" -H "Idempotency-Key: k-once" \
    -H "X-Caller-Id: c1" -d coil -o "$MESH_DIR/answer.$i" \
    "http://${MESH_LISTEN[$node]}/slow/once" &
  resends[i]=$!
done
wait "${resends[@]}"
mesh_expect "runs of ten resends" "$(mesh_starts ' POST /slow/once ')" 1
mesh_expect "answers of ten resends" \
  "$(cat "$MESH_DIR"/answer.* | cksum | cut -d' ' -f1)" \
  "$(for i in 1 2 3 4 5 6 7 8 9 10; do cat "$MESH_DIR/answer.1"; done \
    | cksum | cut -d' ' -f1)"
order n2 /slow/once k-once other
mesh_expect "another body under the key" "$REPLY" "422 key-reused not-run"

# The node beside the server is lost while the order runs.
order n1 /done k-done coil
done_body=$MESH_BODY
for node in n1 n2; do
  curl -s -m 15 -o /dev/null -H "Host: orders" -H "X-Caller-Id: c1" \
    -H "Idempotency-Key: k-lost-$node" -d coil \
    "http://${MESH_LISTEN[n3]}/slow/lost/$node" &
  lost[${node#n}]=$!
done
until_two () { [ "$(mesh_starts /slow/lost/)" -eq 2 ]; }
mesh_until 5 until_two || mesh_fail "orders do not run"
mesh_kill n2
wait "${lost[@]}"
for node in n1 n2; do
  for again in 1 2 3; do
    order n3 "/slow/lost/$node" "k-lost-$node" coil
    case $REPLY in
      200|"502 claim-unknown unknown") ;;
      *) mesh_fail "resend after the loss of a node: $REPLY" ;;
    esac
  done
  mesh_expect "runs after the loss of a node" \
    "$(mesh_starts " POST /slow/lost/$node ")" 1
done

# Everything is killed and restarted.
for node in n1 n3; do mesh_kill "$node"; done
for node in n1 n2 n3; do mesh_node "$node" "domain-$node" --control; done
for node in n1 n2 n3; do
  mesh_until 15 mesh_ready "$node" || mesh_fail "$node is not ready again"
done
mesh_until 10 mesh_serving n3 orders 2 || mesh_fail "servers do not return"
order n3 /done k-done coil
mesh_expect "answer after a full restart" "$MESH_BODY" "$done_body"
mesh_expect "runs after a full restart" "$(mesh_starts ' POST /done ')" 1

# Without a quorum nothing non-idempotent runs, and reads go on.
mesh_kill n2
mesh_kill n3
order n1 /alone k-alone coil
mesh_expect "order without a quorum" "$REPLY" "503 claim-unavailable not-run"
mesh_expect "runs without a quorum" "$(mesh_starts ' POST /alone ')" 0
mesh_call n1 orders GET /alone
mesh_expect "read without a quorum" "$REPLY" 200

# A caller that goes away takes its work with it.
curl -s -m 0.3 -o /dev/null -H "Host: orders" \
  "http://${MESH_LISTEN[n1]}/slow/gone" || true
cancelled () { grep -q ' cancelled GET /slow/gone ' "$MESH_DIR"/*.journal; }
mesh_until 5 cancelled || mesh_fail "the request was not cancelled"

mesh_finish
