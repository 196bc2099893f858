#!/bin/bash
# Keys of the peer links and the operators' token.  Guards against a node with
# a wrong key, or without one, that becomes a member or gets the
# configuration, and against a change or a drain without the token.
set -u
cd "$(dirname "$0")/.." || exit 1
. scripts/mesh.sh
. scripts/mesh_state.sh
mesh_begin
state_nodes a b c
mesh_ports d x y
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
# The procedure of docs/operating.md, where its tool is installed.
if command -v openssl >/dev/null; then
  scripts/peer-key >"$MESH_DIR/key" || state_fail "scripts/peer-key"
fi
echo "right token" >"$MESH_DIR/token"
echo "right tokem" >"$MESH_DIR/wrong-token"
STATE_FLAGS=(--peer-key-file "$MESH_DIR/key"
  --operator-token-file "$MESH_DIR/token")
state_start a b c
state_start_plain d
mesh_until 10 state_change a "$STATE_DOCUMENT" 0 first \
  --operator-token-file "$MESH_DIR/token" || state_fail "no change with the token"
state_must_in 10 "nodes with the key" state_all_have 1 a b c d

# Nodes that must get nothing, also after the time in which a node without a
# quorum takes what any replica holds.
STATE_FLAGS=(--peer-key-file "$MESH_DIR/wrong-key")
state_start_plain x
STATE_FLAGS=()
state_start_plain y

# refused WHAT COMMAND...: ends with status 1 and names the token.
refused () {
  local what=$1 status
  shift
  "$MESH_BIN/rudderctl" --admin "${MESH_ADMIN[b]}" "$@" \
    >"$MESH_DIR/refused" 2>&1
  status=$?
  if [ "$status" -ne 1 ] || ! grep -qi token "$MESH_DIR/refused"; then
    state_fail "$what: status $status" "$(cat "$MESH_DIR/refused")"
  fi
}

state_document 5 "$MESH_DIR/next.json"
refused "change with a wrong token" \
  --operator-token-file "$MESH_DIR/wrong-token" \
  apply "$MESH_DIR/next.json" --base 1 --change-id wrong
refused "change without a token" \
  apply "$MESH_DIR/next.json" --base 1 --change-id none
refused "drain with a wrong token" \
  --operator-token-file "$MESH_DIR/wrong-token" drain
mesh_ready b || state_fail "b was drained without the token"
state_has a 2 && state_fail "a change without the token is in force"
echo "refused without the token: 2 changes, 1 drain"

mesh_until 7 mesh_ready x && state_fail "x is ready with a wrong key"
mesh_ready y && state_fail "y is ready without a key"
for node in x y; do
  mesh_get "$node" /v1/status | grep -q '"replicas_heard": 0' \
    || state_fail "$node hears replicas"
  [ "$(state_version "$node")" = "0 false" ] \
    || state_fail "$node has version $(state_version "$node")"
done
for node in a b c d; do
  mesh_get "$node" /v1/members | grep -qE '"(x|y)"' \
    && state_fail "$node lists a node without the key"
done
echo "nodes with a wrong key and without one: no version, no member"
state_finish
