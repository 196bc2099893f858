#!/bin/bash
# Lost disks of control replicas.  Guards against a replica that votes although
# it has lost its Raft state, a rejoined replica that becomes a voter before it
# has caught up (or never does), changes and claims that are lost with a second
# instance, and a group that does not recover after all replicas are killed.
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
mesh_start_backend fake d orders
state_start_polling a b c d
version=1

# apply_next NODE: applies one more change.
apply_next () {
  state_write_variant $((1000 + version)) "$MESH_DIR/next.json"
  state_apply_document "$1" "$MESH_DIR/next.json" "$version" "change-$version" \
    || { state_fail "change on base $version through $1"; return; }
  version=$((version + 1))
  [ "$REPLY" = "$version" ] || state_fail "accepted as $REPLY, not $version"
}

# expect_claim WHEN PREFIX: an order, which needs a claim, succeeds.
expect_claim () {
  state_order_within 8 d "$2" || state_fail "no claim is granted $1"
}

# wipe_and_start NODE: starts a replica with an empty data directory.
wipe_and_start () {
  rm -rf "$MESH_DIR/$1.data"
  state_start_control "$1"
}

# is_voter NODE: whether its replicas of both groups have a role of a voter.
is_voter () {
  case "$(state_role "$1" config) $(state_role "$1" claims)" in
    *joining*|*learner*|*none*|" "*|*" ") return 1 ;;
  esac
}

apply_next a
expect_claim "at the start" key-1

# One disk is lost; a second instance is lost for good right after the first
# has rejoined.
state_kill b
apply_next a
wipe_and_start b
state_now_ms
started_ms=$REPLY
state_expect_within 10 "b does not rejoin as a voter" is_voter b
state_expect_within 5 "b is behind" state_has_version b "$version"
state_now_ms
echo "rejoined as a new replica after: $((REPLY - started_ms)) ms"
state_kill c
apply_next b
apply_next a
expect_claim "after the second loss" key-2

# The lost instance returns with an empty disk while the leader is suspended.
state_find_leader a b || state_fail "no leader"
leader=$REPLY
wipe_and_start c
state_expect_within 10 "c does not rejoin as a voter" is_voter c
state_kill c
mesh_signal "$leader" STOP
wipe_and_start c
# Without the leader two voters are left, one of which has lost its state.
# They are no quorum and must not accept changes.
other=a
[ "$leader" = a ] && other=b
if state_apply_document "$other" "$MESH_DIR/next.json" "$version" no-quorum \
  --timeout-ms 2500; then
  state_fail "a change was accepted although only one voter has its state"
fi
is_voter c \
  && state_fail "c votes without its state while the leader is suspended"
mesh_signal "$leader" CONT
state_expect_within 10 "c does not rejoin after the leader is resumed" \
  is_voter c
# The change that found no quorum may have been accepted since then.
version=$(state_version "$other")
version=${version% *}
apply_next "$other"
expect_claim "after the leader was resumed" key-3

# All replicas are killed at the same time.
state_kill a b c
state_start_control a b c
state_expect_within 10 "the current version is lost" \
  state_all_have_version "$version" a b c d
apply_next c
expect_claim "after all replicas were killed" key-4
state_check_orders d "$MESH_DIR/fake.journal"
state_check_polled_versions
state_finish
