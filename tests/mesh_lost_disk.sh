#!/bin/bash
# Lost disks of control replicas.  Guards against a replica that votes from a
# state that it lost, a rejoined replica that counts for the quorum before it
# has caught up (or never does), lost changes and claims after a second
# instance is lost, and a group that does not come back after all replicas
# are killed.
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
mesh_fake fake d orders
state_watch a b c d
version=1

# Applies one more change through NODE.
change () {
  state_document $((1000 + version)) "$MESH_DIR/next.json"
  state_change "$1" "$MESH_DIR/next.json" "$version" "change-$version" \
    || { state_fail "change on $version through $1"; return; }
  version=$((version + 1))
  [ "$REPLY" = "$version" ] || state_fail "accepted as $REPLY, not $version"
}

claims_go_on () {
  state_order_until 8 d "$2" || state_fail "no claim granted $1"
}

# Starts a replica on an empty data folder.
wipe_and_start () {
  rm -rf "$MESH_DIR/$1.data"
  state_start "$1"
}

is_voter () {
  case "$(state_role "$1" config) $(state_role "$1" claims)" in
    *joining*|*learner*|*none*|" "*|*" ") return 1 ;;
  esac
}

change a
claims_go_on "at the start" key-1

# One disk lost; another instance lost for good right after the repair.
state_kill b
change a
wipe_and_start b
state_ms
began=$REPLY
state_must_in 10 "b does not rejoin as a voter" is_voter b
state_must_in 5 "b is behind" state_has b "$version"
state_ms
echo "rejoined as a new replica after: $((REPLY - began)) ms"
state_kill c
change b
change a
claims_go_on "after the second loss" key-2

# The lost instance returns with an empty disk while the leader is frozen.
state_leader a b || state_fail "no leader"
leader=$REPLY
wipe_and_start c
state_must_in 10 "c does not rejoin as a voter" is_voter c
state_kill c
mesh_signal "$leader" STOP
wipe_and_start c
# Without the leader two voters are left, one of which lost its state: no
# quorum, and it must not pretend to be one.
other=a
[ "$leader" = a ] && other=b
if state_change "$other" "$MESH_DIR/next.json" "$version" lone \
  --timeout-ms 2500; then
  state_fail "a change was accepted by one voter with its state"
fi
is_voter c && state_fail "the wiped replica votes while the leader is frozen"
mesh_signal "$leader" CONT
state_must_in 10 "c does not rejoin after the leader goes on" is_voter c
# The change that found no quorum may have been accepted since.
version=$(state_version "$other")
version=${version% *}
change "$other"
claims_go_on "after the leader went on" key-3

# All three at once.
state_kill a b c
state_start a b c
state_must_in 10 "current configuration is not back" \
  state_all_have "$version" a b c d
change c
claims_go_on "after all replicas were killed" key-4
state_orders_end d "$MESH_DIR/fake.journal"
state_watch_end
state_finish
