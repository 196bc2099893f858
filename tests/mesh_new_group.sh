#!/bin/bash
# Recovery after the loss of the quorum for good, as docs/operating.md says:
# two of three disks are lost.  Guards against a procedure that does not work,
# a new group that is created while a replica of the old one may still hold
# newer state, and nodes that go back to the document without a restart.
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
for base in 1 2 3 4; do
  state_document $((100 + base)) "$MESH_DIR/next.json"
  state_change b "$MESH_DIR/next.json" "$base" "change-$base" \
    || state_fail "change on $base"
done
state_must_in 5 "changes are not in force" state_all_have 5 a b c d

# Two disks lost: the third still belongs to the old group.
state_kill a b c
rm -rf "$MESH_DIR/b.data" "$MESH_DIR/c.data"
state_start a b c
if state_change b "$MESH_DIR/next.json" 0 new-group --timeout-ms 4000; then
  state_fail "a new group was created beside a replica of the old one"
fi
d_version=$(state_version d)
[ "${d_version% *}" = 5 ] || state_fail "node d has $d_version"

# The procedure: all three empty, the document with base 0, all restarted.
state_kill a b c
rm -rf "$MESH_DIR"/[abc].data
state_start a b c
mesh_until 10 state_change c "$MESH_DIR/next.json" 0 new-group \
  || state_fail "the document is not accepted"
echo "new group: accepted as version ${REPLY:-none}"
state_must_in 5 "document is not in force" state_all_have 1 a b c
d_version=$(state_version d)
[ "${d_version% *}" = 5 ] || state_fail "node d went back to $d_version"
mesh_stop d || state_fail "node d does not stop"
state_start_plain d
state_must_in 5 "restarted node has no document" state_has d 1
d_version=$(state_version d)
echo "restarted node: $d_version"
[ "$d_version" = "1 true" ] || state_fail "restarted node has $d_version"
state_finish
