#!/bin/bash
# Authentication of peer links by key and of operators by token.  Guards
# against a node with a wrong key, or without one, that becomes a member or
# gets the configuration, and against a change or a drain that is accepted
# without the token.
set -u
cd "$(dirname "$0")/.." || exit 1
. scripts/mesh.sh
. scripts/mesh_state.sh
mesh_setup
state_set_control_nodes a b c
mesh_reserve_node_ports d x y
state_write_document
# Curve25519 key pairs in Z85, made for this test: secret, then public.
cat >"$MESH_DIR/key" <<'EOF'
d6PTl?MX4BcsWrdpdb8?F&9j(anfm)qFBe<!x{K4
DZlay)J:&JeW2+!3Ge:-t%iTZjXmh[]#M1[4VkNT
EOF
cat >"$MESH_DIR/wrong-key" <<'EOF'
Xe%%3:>-dEw[Cg9:-*VLMC+<MRYR*Zu8VB<B0YEL
eG]Tz<0iaz%btoB9cpO5.m%jA^68B^2y9:XTMRGO
EOF
# The procedure of docs/operating.md, where openssl is installed.
if command -v openssl >/dev/null; then
  scripts/peer-key >"$MESH_DIR/key" || state_fail "scripts/peer-key failed"
fi
echo "right token" >"$MESH_DIR/token"
echo "right tokem" >"$MESH_DIR/wrong-token"
STATE_NODE_FLAGS=(--peer-key-file "$MESH_DIR/key"
  --operator-token-file "$MESH_DIR/token")
state_start_control a b c
state_start_plain d
mesh_wait_until 10 state_apply_document a "$STATE_DOCUMENT" 0 first \
  --operator-token-file "$MESH_DIR/token" \
  || state_fail "a change with the token is not accepted"
state_expect_within 10 "nodes with the key have no version" \
  state_all_have_version 1 a b c d

# Nodes that must get no configuration, also after the time at which a node
# that finds no quorum accepts the version of any replica.
STATE_NODE_FLAGS=(--peer-key-file "$MESH_DIR/wrong-key")
state_start_plain x
STATE_NODE_FLAGS=()
state_start_plain y

# expect_refused NAME ARGUMENT...: rudderctl exits with status 1 and an error
# that names the token.
expect_refused () {
  local name=$1 status
  shift
  "$MESH_BIN/rudderctl" --admin "${MESH_ADMIN[b]}" "$@" \
    >"$MESH_DIR/refused" 2>&1
  status=$?
  if [ "$status" -ne 1 ] || ! grep -qi token "$MESH_DIR/refused"; then
    state_fail "$name: status $status" "$(cat "$MESH_DIR/refused")"
  fi
}

state_write_variant 5 "$MESH_DIR/next.json"
expect_refused "change with a wrong token" \
  --operator-token-file "$MESH_DIR/wrong-token" \
  apply "$MESH_DIR/next.json" --base 1 --change-id wrong
expect_refused "change without a token" \
  apply "$MESH_DIR/next.json" --base 1 --change-id none
expect_refused "drain with a wrong token" \
  --operator-token-file "$MESH_DIR/wrong-token" drain
mesh_is_ready b || state_fail "b was drained without the token"
state_has_version a 2 && state_fail "a change without the token is in force"
echo "refused without the token: 2 changes, 1 drain"

mesh_wait_until 7 mesh_is_ready x && state_fail "x is ready with a wrong key"
mesh_is_ready y && state_fail "y is ready without a key"
for node in x y; do
  mesh_get_admin "$node" /v1/status | grep -q '"replicas_heard": 0' \
    || state_fail "$node receives messages of replicas"
  [ "$(state_version "$node")" = "0 false" ] \
    || state_fail "$node has version $(state_version "$node")"
done
for node in a b c d; do
  mesh_get_admin "$node" /v1/members | grep -qE '"(x|y)"' \
    && state_fail "$node lists a node without the key"
done
echo "nodes with a wrong key and without one: no version, not listed"
state_finish
