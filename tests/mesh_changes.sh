#!/bin/bash
# Configuration changes on three control nodes and one without a replica.
# Guards against two changes accepted on one base version, a resent change
# that applies twice or gets another result (from another node, after the
# leader is killed, after all nodes are killed), a version that goes back at a
# node, and "--wait" that returns too early or does not name
# the node that is behind.
set -u
cd "$(dirname "$0")/.." || exit 1
. scripts/mesh.sh
. scripts/mesh_state.sh
mesh_begin
state_nodes a b c
mesh_ports d
state_start a b c
state_start_plain d
state_begin a b c d
state_watch a b c d

# apply_to LOG NODE FILE BASE ID: output and status go to LOG.
apply_to () {
  mesh_apply "$2" "$3" "$4" "$5" >"$1" 2>&1
  echo "status $?" >>"$1"
}

# Two changes with equal base: one is accepted, the other gets a conflict
# that names the version in force.
race () {
  local base=$1 left=$MESH_DIR/left right=$MESH_DIR/right first
  state_document $((1000 + base)) "$left.json"
  state_document $((2000 + base)) "$right.json"
  apply_to "$left" a "$left.json" "$base" "left-$base" &
  first=$!
  apply_to "$right" c "$right.json" "$base" "right-$base"
  wait "$first"
  won=$(cat "$left" "$right" | grep -c "^accepted as version $((base + 1))$")
  lost=$(cat "$left" "$right" \
    | grep -c "conflict: version $((base + 1)) is in force, not the base $base")
  if [ "$won $lost" != "1 1" ] \
    || [ "$(cat "$left" "$right" | grep -cx 'status [01]')" -ne 2 ] \
    || ! cat "$left" "$right" | grep -qx 'status 1'; then
    state_fail "race on base $base: $won accepted, $lost conflicts" \
      "$(cat "$left" "$right")"
  fi
}

for base in 1 2 3 4 5; do
  race "$base"
done
echo "races with equal base: 5"

# expect_first NODE WHEN: resends of an accepted and of a refused change get
# what the first ones got.
expect_first () {
  state_change "$1" "$MESH_DIR/kept.json" 6 kept
  [ "$REPLY" = 7 ] || state_fail "resend $2 got version ${REPLY:-none}, not 7"
  mesh_apply "$1" "$MESH_DIR/kept.json" 3 late >"$MESH_DIR/late" 2>&1
  grep -q "conflict: version 7 is in force" "$MESH_DIR/late" \
    || state_fail "resent conflict $2" "$(cat "$MESH_DIR/late")"
}

state_document 77 "$MESH_DIR/kept.json"
state_change b "$MESH_DIR/kept.json" 6 kept || state_fail "change 7"
mesh_apply b "$MESH_DIR/kept.json" 3 late >/dev/null 2>&1
state_document 78 "$MESH_DIR/next.json"
state_change a "$MESH_DIR/next.json" 7 next || state_fail "change 8"

state_leader a b c || state_fail "no leader"
leader=$REPLY
follower=a
[ "$leader" = a ] && follower=b
# A change that is under way while the leader is killed applies once.
state_document 79 "$MESH_DIR/killed.json"
apply_to "$MESH_DIR/killed" "$follower" "$MESH_DIR/killed.json" 8 killed &
change=$!
state_kill "$leader"
wait "$change"
grep -q '^accepted as version 9$' "$MESH_DIR/killed" \
  || state_fail "change while the leader is killed" "$(cat "$MESH_DIR/killed")"
expect_first "$follower" "after the leader was killed"
state_start "$leader"
state_must_in 10 "killed leader is behind" state_has "$leader" 9
expect_first "$leader" "from the restarted node"

state_kill a b c d
state_start a b c
state_start_plain d
state_must_in 10 "restarted nodes are behind" state_all_have 9 a b c d
expect_first d "after a restart of all nodes"

# In force everywhere, and what "--wait" says about it.
state_document 80 "$MESH_DIR/wait.json"
state_ms
began=$REPLY
state_change a "$MESH_DIR/wait.json" 9 wait --wait || state_fail "--wait"
state_ms
waited=$((REPLY - began))
state_all_have 10 a b c d || state_fail "--wait returned before all nodes had it"
# A node that does not get the change is named.
mesh_signal d STOP
state_document 90 "$MESH_DIR/named.json"
"$MESH_BIN/rudderctl" --admin "${MESH_ADMIN[a]}" --timeout-ms 1500 apply \
  "$MESH_DIR/named.json" --base 10 --change-id named --wait --quiet \
  >"$MESH_DIR/named" 2>&1
status=$?
mesh_signal d CONT
if [ "$status" -ne 1 ] || ! grep -q '"d"' "$MESH_DIR/named"; then
  state_fail "--wait with a stopped node: status $status" \
    "$(cat "$MESH_DIR/named")"
fi
state_must_in 5 "stopped node is behind" state_all_have 11 d
worst=0
for base in 11 12 13 14; do
  state_document $((100 + base)) "$MESH_DIR/time.json"
  state_change c "$MESH_DIR/time.json" "$base" "time-$base" \
    || state_fail "change on $base"
  state_ms
  began=$REPLY
  state_must_in 5 "version not in force" state_all_have $((base + 1)) a b c d
  state_ms
  [ $((REPLY - began)) -gt "$worst" ] && worst=$((REPLY - began))
done
echo "in force everywhere after: $worst ms (bound 2000), --wait: $waited ms"
[ "$worst" -le 2000 ] || state_fail "in force too late"
state_watch_end
state_finish
