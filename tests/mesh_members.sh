#!/bin/bash
# Members that drain, crash or come twice, and the loss of all control
# replicas.  Guards against work that still reaches a draining backend server,
# requests lost because of a drain, an instance whose place another one with
# its name takes, a crashed node that stays listed, and nodes that forget
# their servers, or run orders without a claim, when no replica responds or
# all of them have just started.
set -u
cd "$(dirname "$0")/.." || exit 1
. scripts/mesh.sh
. scripts/mesh_state.sh
mesh_begin
state_nodes a b c
mesh_ports d e f x
state_start a b c
state_start_plain d e f
state_begin a b c d e f

# Announces the backend server of a node until it is killed.
announce () {
  while :; do
    curl -s -m 2 -o /dev/null -X PUT "http://${MESH_ADMIN[$1]}/v1/backend" \
      -d "{\"service\": \"orders\", \"address\": \"${MESH_BACKEND[$1]}\",
           \"slots\": 20, \"connections\": 100}"
    sleep 0.5
  done
}

for node in d e f; do
  mesh_start "fake-$node" "$MESH_BIN/rudder-fake" --service-us 2000 \
    --listen "${MESH_BACKEND[$node]}" --journal "$MESH_DIR/$node.journal"
  mesh_until 5 mesh_listens "${MESH_BACKEND[$node]#*:}"
  announce "$node" &
  MESH_PID[announce-$node]=$!
done

# member_state NODE INSTANCE: its state as NODE sees it; "gone" when unlisted.
member_state () {
  mesh_get "$1" /v1/members | awk -v name="\"$2\"," '
    $1 == "\"instance\":" { inside = $2 == name }
    inside && $1 == "\"state\":" { gsub (/[",]/, "", $2); state = $2 }
    END { print NR == 0 ? "unknown" : state == "" ? "gone" : state }'
}

# all_see STATE INSTANCE NODE...
all_see () {
  local state=$1 instance=$2 node
  shift 2
  for node in "$@"; do
    [ "$(member_state "$node" "$instance")" = "$state" ] || return 1
  done
}

# counts NAME: "calls whole" of a load.
counts () {
  sed -n 's/^label all .*\bcalls \([0-9]*\).*\bwhole \([0-9]*\).*/\1 \2/p' \
    "$MESH_DIR/$1.log"
}

# expect_whole NAME: each call of the load got a whole answer.
expect_whole () {
  mesh_until 10 mesh_ended "$1" || state_fail "$1 does not end"
  set -- "$1" $(counts "$1")
  echo "$1: ${3:-no} of ${2:-no} calls got a whole answer"
  if [ "${2:-0}" -eq 0 ] || [ "${2:-0}" != "${3:-1}" ]; then
    state_fail "$1" "$(cat "$MESH_DIR/$1.log")"
  fi
}

for node in d e f; do
  state_must_in 5 "$node is not serving" all_see serving "$node" a b c d e f
done

# Drain.
mesh_start drain-load "$MESH_BIN/rudder-load" --host orders --rate 100 \
  --seconds 3 --target "${MESH_LISTEN[a]},${MESH_LISTEN[d]},${MESH_LISTEN[e]}" \
  --request "GET /orders/{n}/bytes/300 1"
served_by_d () {
  [ "$(grep -c ' start ' "$MESH_DIR/d.journal")" -ge 5 ]
}
state_must_in 4 "d gets no requests" served_by_d
mesh_kill announce-d
curl -s -o /dev/null -X DELETE "http://${MESH_ADMIN[d]}/v1/backend"
state_ms
drained=$REPLY
state_must_in 5 "drain is not known" all_see draining d a b c d e f
state_ms
echo "drain known at all nodes after: $((REPLY - drained)) ms (bound 3000)"
[ $((REPLY - drained)) -le 3000 ] || state_fail "drain is known too late"
expect_whole drain-load
late=$(awk -v from="$drained" '$2 == "start" && $1 > from' \
  "$MESH_DIR/d.journal")
[ -z "$late" ] || state_fail "work reached the draining server" "$late"

# Another instance with the name of a live one.
mesh_start x "$MESH_BIN/sycamorerudder-node" --listen "${MESH_LISTEN[x]}" \
  --admin "${MESH_ADMIN[x]}" --peer "${MESH_PEER[x]}" --failure-domain x \
  --instance e --join "$MESH_JOIN"
name_taken () {
  mesh_get x /v1/status | grep -q '"name_taken": true'
}
state_must_in 5 "the second instance e is not refused" name_taken
for node in a b c d; do
  mesh_get "$node" /v1/members | grep -q "\"${MESH_PEER[x]}\"" \
    && state_fail "$node lists the second instance e"
  mesh_get "$node" /v1/members | grep -q "\"${MESH_PEER[e]}\"" \
    || state_fail "$node lost the first instance e"
done
grep -q 'setting=--instance value=e' "$MESH_DIR/x.log" \
  || state_fail "no log line names the setting"
mesh_kill x

# A crashed node.
mesh_kill announce-f
mesh_kill f
state_ms
crashed=$REPLY
state_must_in 10 "crashed node is still listed" all_see gone f a b c d e
state_ms
echo "crashed node gone from all nodes after: $((REPLY - crashed)) ms" \
  "(bound 5000)"
[ $((REPLY - crashed)) -le 5000 ] || state_fail "crashed node listed too long"

# All control replicas suspended for longer than a lease.  The members are read
# as soon as the replicas go on.
for node in a b c; do
  mesh_signal "$node" STOP
done
sleep 3.5
for node in a b c; do
  mesh_signal "$node" CONT
done
for poll in 1 2 3 4 5 6 7 8 9 10; do
  for node in a d e; do
    [ "$(member_state "$node" e)" = serving ] && continue
    state_fail "e is not listed at $node after the replicas went on"
    break 2
  done
done
echo "members after all replicas were suspended: polled $poll times"

# All control replicas lost, for longer than a lease, and started again: with
# empty member tables.
state_kill a b c
mesh_start lost-load "$MESH_BIN/rudder-load" --host orders --rate 100 \
  --seconds 6 --target "${MESH_LISTEN[d]},${MESH_LISTEN[e]}" \
  --request "GET /orders/{n}/bytes/300 1"
sleep 3.5
for node in d e; do
  answer=$(curl -s -m 8 -i -X POST -H 'Host: orders' \
    -H "Idempotency-Key: lost-$node" -d x "http://${MESH_LISTEN[$node]}/orders")
  echo "$answer" | grep -qi 'proxy-status:.*claim-unavailable; not-run' \
    || state_fail "order through $node without replicas" "$answer"
done
grep -q 'key=lost-' "$MESH_DIR"/*.journal && state_fail "an order ran"
state_start a b c
expect_whole lost-load
state_order_until 8 d back || state_fail "no order once the replicas are back"
state_finish
