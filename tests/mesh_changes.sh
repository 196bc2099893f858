#!/bin/bash
# Configuration changes on three control replicas and one node without a
# replica.  Guards against two changes accepted on the same base version; a
# resent change that applies twice or gets another result (through another
# node, after the leader is killed, after all nodes are killed); a version that
# decreases at a node; and "--wait" that returns too early or does not name the
# node that is behind.
set -u
cd "$(dirname "$0")/.." || exit 1
. scripts/mesh.sh
. scripts/mesh_state.sh
mesh_setup
state_set_control_nodes a b c
mesh_reserve_node_ports d
state_start_control a b c
state_start_plain d
state_apply_first_document a b c d
state_start_polling a b c d

# apply_logged LOG NODE FILE BASE ID: applies a change; writes output and exit
# status to LOG.
apply_logged () {
  mesh_apply_document "$2" "$3" "$4" "$5" >"$1" 2>&1
  echo "status $?" >>"$1"
}

# check_race BASE: of two concurrent changes on the same base version one is
# accepted; the other gets a conflict that names the version in force.
check_race () {
  local base=$1 left=$MESH_DIR/left right=$MESH_DIR/right first_pid
  state_write_variant $((1000 + base)) "$left.json"
  state_write_variant $((2000 + base)) "$right.json"
  apply_logged "$left" a "$left.json" "$base" "left-$base" &
  first_pid=$!
  apply_logged "$right" c "$right.json" "$base" "right-$base"
  wait "$first_pid"
  accepted=$(cat "$left" "$right" | grep -c "^accepted as version $((base + 1))$")
  conflicts=$(cat "$left" "$right" \
    | grep -c "conflict: version $((base + 1)) is in force, not the base $base")
  if [ "$accepted $conflicts" != "1 1" ] \
    || [ "$(cat "$left" "$right" | grep -cx 'status [01]')" -ne 2 ] \
    || ! cat "$left" "$right" | grep -qx 'status 1'; then
    state_fail "race on base $base: $accepted accepted, $conflicts conflicts" \
      "$(cat "$left" "$right")"
  fi
}

for base in 1 2 3 4 5; do
  check_race "$base"
done
echo "races on the same base version: 5"

# check_resends NODE WHEN: resends of an accepted and of a refused change
# through NODE get the results of the first ones.
check_resends () {
  state_apply_document "$1" "$MESH_DIR/kept.json" 6 kept
  [ "$REPLY" = 7 ] || state_fail "resend $2 got version ${REPLY:-none}, not 7"
  mesh_apply_document "$1" "$MESH_DIR/kept.json" 3 refused \
    >"$MESH_DIR/refused" 2>&1
  grep -q "conflict: version 7 is in force" "$MESH_DIR/refused" \
    || state_fail "resent conflict $2" "$(cat "$MESH_DIR/refused")"
}

state_write_variant 77 "$MESH_DIR/kept.json"
state_apply_document b "$MESH_DIR/kept.json" 6 kept \
  || state_fail "change to version 7 is not accepted"
mesh_apply_document b "$MESH_DIR/kept.json" 3 refused >/dev/null 2>&1
state_write_variant 78 "$MESH_DIR/next.json"
state_apply_document a "$MESH_DIR/next.json" 7 next \
  || state_fail "change to version 8 is not accepted"

state_find_leader a b c || state_fail "no leader"
leader=$REPLY
follower=a
[ "$leader" = a ] && follower=b
# A change that is in progress when the leader is killed applies once.
state_write_variant 79 "$MESH_DIR/killed.json"
apply_logged "$MESH_DIR/killed" "$follower" "$MESH_DIR/killed.json" 8 killed &
change_pid=$!
state_kill "$leader"
wait "$change_pid"
grep -q '^accepted as version 9$' "$MESH_DIR/killed" \
  || state_fail "change in progress when the leader was killed" \
    "$(cat "$MESH_DIR/killed")"
check_resends "$follower" "after the leader was killed"
state_start_control "$leader"
state_expect_within 10 "killed leader is behind" state_has_version "$leader" 9
check_resends "$leader" "from the restarted node"

state_kill a b c d
state_start_control a b c
state_start_plain d
state_expect_within 10 "restarted nodes are behind" \
  state_all_have_version 9 a b c d
check_resends d "after a restart of all nodes"

# "--wait" returns when the version is in force on all nodes.
state_write_variant 80 "$MESH_DIR/wait.json"
state_now_ms
started_ms=$REPLY
state_apply_document a "$MESH_DIR/wait.json" 9 wait --wait \
  || state_fail "change with --wait is not accepted"
state_now_ms
wait_ms=$((REPLY - started_ms))
state_all_have_version 10 a b c d \
  || state_fail "--wait returned before all nodes had the version"
# It names a node that does not get the change.
mesh_signal d STOP
state_write_variant 90 "$MESH_DIR/named.json"
"$MESH_BIN/rudderctl" --admin "${MESH_ADMIN[a]}" --timeout-ms 1500 apply \
  "$MESH_DIR/named.json" --base 10 --change-id named --wait --quiet \
  >"$MESH_DIR/named" 2>&1
status=$?
mesh_signal d CONT
if [ "$status" -ne 1 ] || ! grep -q '"d"' "$MESH_DIR/named"; then
  state_fail "--wait with a stopped node: status $status" \
    "$(cat "$MESH_DIR/named")"
fi
state_expect_within 5 "stopped node is behind" state_all_have_version 11 d
max_ms=0
for base in 11 12 13 14; do
  state_write_variant $((100 + base)) "$MESH_DIR/time.json"
  state_apply_document c "$MESH_DIR/time.json" "$base" "time-$base" \
    || state_fail "change on base $base is not accepted"
  state_now_ms
  started_ms=$REPLY
  state_expect_within 5 "version not in force" \
    state_all_have_version $((base + 1)) a b c d
  state_now_ms
  [ $((REPLY - started_ms)) -gt "$max_ms" ] && max_ms=$((REPLY - started_ms))
done
echo "in force on all nodes after: $max_ms ms (bound 2000), --wait: $wait_ms ms"
[ "$max_ms" -le 2000 ] || state_fail "in force too late"
state_check_polled_versions
state_finish
