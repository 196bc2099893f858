#!/bin/bash
# Members that drain, crash or have the same name, and the loss of all control
# replicas.  Guards against requests that reach a draining backend server,
# requests that fail because of a drain, an instance that is replaced by
# another one with its name, a crashed node that stays listed, and nodes that
# drop their servers from the list, or run orders without a claim, when no
# replica responds or all of them have just started.
set -u
cd "$(dirname "$0")/.." || exit 1
. scripts/mesh.sh
. scripts/mesh_state.sh
mesh_setup
state_set_control_nodes a b c
mesh_reserve_node_ports d e f x
state_start_control a b c
state_start_plain d e f
state_apply_first_document a b c d e f

# announce NODE: announces its backend server every 0.5 s until killed.
announce () {
  while :; do
    curl -s -m 2 -o /dev/null -X PUT "http://${MESH_ADMIN[$1]}/v1/backend" \
      -d "{\"service\": \"orders\", \"address\": \"${MESH_BACKEND[$1]}\",
           \"slots\": 20, \"connections\": 100}"
    sleep 0.5
  done
}

for node in d e f; do
  mesh_start_process "fake-$node" "$MESH_BIN/rudder-fake" --service-us 2000 \
    --listen "${MESH_BACKEND[$node]}" --journal "$MESH_DIR/$node.journal"
  mesh_wait_until 5 mesh_port_is_open "${MESH_BACKEND[$node]#*:}"
  announce "$node" &
  MESH_PID[announce-$node]=$!
done

# member_state NODE INSTANCE: prints the state of INSTANCE in the member list
# of NODE; "unlisted" when it is not in the list, "unknown" when NODE does not
# respond.
member_state () {
  mesh_get_admin "$1" /v1/members | awk -v name="\"$2\"," '
    $1 == "\"instance\":" { inside = $2 == name }
    inside && $1 == "\"state\":" { gsub (/[",]/, "", $2); state = $2 }
    END { print NR == 0 ? "unknown" : state == "" ? "unlisted" : state }'
}

# all_list STATE INSTANCE NODE...: whether member_state is STATE at all nodes.
all_list () {
  local state=$1 instance=$2 node
  shift 2
  for node in "$@"; do
    [ "$(member_state "$node" "$instance")" = "$state" ] || return 1
  done
}

# load_counts NAME: prints the calls of a load and how many of them got a whole
# response.
load_counts () {
  sed -n 's/^label all .*\bcalls \([0-9]*\).*\bwhole \([0-9]*\).*/\1 \2/p' \
    "$MESH_DIR/$1.log"
}

# expect_all_whole NAME: each call of the load got a whole response.
expect_all_whole () {
  mesh_wait_until 10 mesh_has_exited "$1" || state_fail "$1 does not end"
  set -- "$1" $(load_counts "$1")
  echo "$1: ${3:-no} of ${2:-no} calls got a whole response"
  if [ "${2:-0}" -eq 0 ] || [ "${2:-0}" != "${3:-1}" ]; then
    state_fail "$1" "$(cat "$MESH_DIR/$1.log")"
  fi
}

for node in d e f; do
  state_expect_within 5 "$node is not serving" \
    all_list serving "$node" a b c d e f
done

# A drain is known at all nodes in time, and no request fails or reaches the
# draining server.
mesh_start_process drain-load "$MESH_BIN/rudder-load" \
  --host orders --rate 100 \
  --seconds 3 --target "${MESH_LISTEN[a]},${MESH_LISTEN[d]},${MESH_LISTEN[e]}" \
  --request "GET /orders/{n}/bytes/300 1"
d_is_used () {
  [ "$(grep -c ' start ' "$MESH_DIR/d.journal")" -ge 5 ]
}
state_expect_within 4 "d gets no requests" d_is_used
mesh_kill announce-d
curl -s -o /dev/null -X DELETE "http://${MESH_ADMIN[d]}/v1/backend"
state_now_ms
drained_ms=$REPLY
state_expect_within 5 "drain is not known" all_list draining d a b c d e f
state_now_ms
echo "drain known at all nodes after: $((REPLY - drained_ms)) ms (bound 3000)"
[ $((REPLY - drained_ms)) -le 3000 ] || state_fail "drain is known too late"
expect_all_whole drain-load
late=$(awk -v from="$drained_ms" '$2 == "start" && $1 > from' \
  "$MESH_DIR/d.journal")
[ -z "$late" ] || state_fail "requests reached the draining server" "$late"

# Another instance with the name of a running one is refused.
mesh_start_process x "$MESH_BIN/sycamorerudder-node" \
  --listen "${MESH_LISTEN[x]}" \
  --admin "${MESH_ADMIN[x]}" --peer "${MESH_PEER[x]}" --failure-domain x \
  --instance e --join "$MESH_JOIN"
name_taken () {
  mesh_get_admin x /v1/status | grep -q '"name_taken": true'
}
state_expect_within 5 "the second instance e is not refused" name_taken
for node in a b c d; do
  mesh_get_admin "$node" /v1/members | grep -q "\"${MESH_PEER[x]}\"" \
    && state_fail "$node lists the second instance e"
  mesh_get_admin "$node" /v1/members | grep -q "\"${MESH_PEER[e]}\"" \
    || state_fail "$node does not list the first instance e"
done
grep -q 'setting=--instance value=e' "$MESH_DIR/x.log" \
  || state_fail "no log line names the setting"
mesh_kill x

# A crashed node is removed from all member lists in time.
mesh_kill announce-f
mesh_kill f
state_now_ms
crashed_ms=$REPLY
state_expect_within 10 "crashed node is still listed" \
  all_list unlisted f a b c d e
state_now_ms
echo "crashed node is no longer listed after: $((REPLY - crashed_ms)) ms" \
  "(bound 5000)"
[ $((REPLY - crashed_ms)) -le 5000 ] \
  || state_fail "crashed node listed too long"

# All control replicas are suspended for longer than a lease.  The member lists
# are read as soon as the replicas are resumed.
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
    state_fail "e is not listed at $node after the replicas were resumed"
    break 2
  done
done
echo "members after all replicas were suspended: polled $poll times"

# All control replicas are down for longer than a lease and restarted; they
# start with empty member tables.
state_kill a b c
mesh_start_process lost-load "$MESH_BIN/rudder-load" --host orders --rate 100 \
  --seconds 6 --target "${MESH_LISTEN[d]},${MESH_LISTEN[e]}" \
  --request "GET /orders/{n}/bytes/300 1"
sleep 3.5
for node in d e; do
  response=$(curl -s -m 8 -i -X POST -H 'Host: orders' \
    -H "Idempotency-Key: lost-$node" -d x "http://${MESH_LISTEN[$node]}/orders")
  echo "$response" | grep -qi 'proxy-status:.*claim-unavailable; not-run' \
    || state_fail "order through $node without replicas" "$response"
done
grep -q 'key=lost-' "$MESH_DIR"/*.journal \
  && state_fail "an order ran without a claim"
state_start_control a b c
expect_all_whole lost-load
state_order_within 8 d back \
  || state_fail "no order succeeds after the replicas were restarted"
state_finish
