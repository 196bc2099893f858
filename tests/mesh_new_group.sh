#!/bin/bash
# Recovery from the permanent loss of the quorum (two of three disks) by the
# procedure in docs/operating.md.  Guards against a procedure that does not
# work, a new group that is created while a replica of the old one may hold
# newer state, and nodes that return to the older document without a restart.
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
for base in 1 2 3 4; do
  state_write_variant $((100 + base)) "$MESH_DIR/next.json"
  state_apply_document b "$MESH_DIR/next.json" "$base" "change-$base" \
    || state_fail "change on base $base is not accepted"
done
state_expect_within 5 "changes are not in force" \
  state_all_have_version 5 a b c d

# Two disks are lost; the third still belongs to the old group.
state_kill a b c
rm -rf "$MESH_DIR/b.data" "$MESH_DIR/c.data"
state_start_control a b c
if state_apply_document b "$MESH_DIR/next.json" 0 new-group --timeout-ms 4000; then
  state_fail "a new group was created although a replica of the old one exists"
fi
d_version=$(state_version d)
[ "${d_version% *}" = 5 ] || state_fail "node d has $d_version"

# The procedure: empty all three data directories, apply the document with base
# 0, restart the other nodes.
state_kill a b c
rm -rf "$MESH_DIR"/[abc].data
state_start_control a b c
mesh_wait_until 10 state_apply_document c "$MESH_DIR/next.json" 0 new-group \
  || state_fail "the document is not accepted"
echo "new group: accepted as version ${REPLY:-none}"
state_expect_within 5 "document is not in force" state_all_have_version 1 a b c
d_version=$(state_version d)
[ "${d_version% *}" = 5 ] \
  || state_fail "node d returned to $d_version without a restart"
mesh_stop d || state_fail "node d does not stop"
state_start_plain d
state_expect_within 5 "restarted node has no document" state_has_version d 1
d_version=$(state_version d)
echo "restarted node: $d_version"
[ "$d_version" = "1 true" ] || state_fail "restarted node has $d_version"
state_finish
