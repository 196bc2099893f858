#!/bin/bash
# Restart of all nodes after 700 changes, and of a node that finds no quorum.
# Guards against a process that restarts with an old configuration or slowly,
# one that is ready before a quorum has confirmed its version, and one that
# never becomes ready, or reports its version as confirmed, while no quorum is
# reachable.
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
last_version=700

# All changes go through one connection, one after the other.
for ((base = 1; base < last_version; base++)); do
  echo "url = \"http://${MESH_ADMIN[b]}/v1/document?base=$base&change_id=c-$base\""
  echo "request = PUT"
  echo "data-binary = \"@$STATE_DOCUMENT\""
  echo "silent"
  echo "next"
done | sed '$d' >"$MESH_DIR/changes"
state_now_ms
started_ms=$REPLY
curl -K "$MESH_DIR/changes" >"$MESH_DIR/responses" 2>&1
state_now_ms
echo "changes accepted: $(grep -c accepted "$MESH_DIR/responses") in" \
  "$((REPLY - started_ms)) ms"
[ "$(grep -c accepted "$MESH_DIR/responses")" -eq $((last_version - 1)) ] \
  || state_fail "not all changes were accepted" "$(tail -n 3 "$MESH_DIR/responses")"
state_expect_within 5 "version $last_version is not in force" \
  state_all_have_version "$last_version" a b c d

# Kills and restarts all nodes; sets REPLY to the time until the last one is
# ready, in milliseconds.
restart_all () {
  local name version
  state_kill a b c d
  state_now_ms
  started_ms=$REPLY
  state_start_control a b c
  state_start_plain d
  for name in a b c d; do
    state_expect_within 10 "$name is not ready" mesh_is_ready "$name"
    # A ready node accepts requests, so it must have the current version.
    version=$(state_version "$name")
    [ "$version" = "$last_version true" ] \
      || state_fail "$name is ready with $version"
  done
  state_now_ms
  REPLY=$((REPLY - started_ms))
}

for round in 1 2 3; do
  restart_all
  echo "all nodes ready with version $last_version after: $REPLY ms" \
    "(bound 2000)"
  [ "$REPLY" -le 2000 ] || state_fail "round $round: ready after $REPLY ms"
done

# One replica alone, and one node without a replica.  A starting node accepts
# the newest version of any replica after 5 s without a quorum
# (CONTROL_CONFIRM_TIMEOUT_US).
state_kill a b c d
state_now_ms
started_ms=$REPLY
state_start_control a
state_start_plain d
mesh_start_backend fake a orders
for name in a d; do
  state_expect_within 12 "$name alone is not ready" mesh_is_ready "$name"
  state_now_ms
  ready_ms=$((REPLY - started_ms))
  version=$(state_version "$name")
  echo "$name without a quorum: \"$version\" after $ready_ms ms"
  [ "$ready_ms" -ge 5000 ] \
    || state_fail "$name was ready without a quorum after $ready_ms ms, minimum 5000"
  [ "$ready_ms" -le 9000 ] \
    || state_fail "$name was ready without a quorum after $ready_ms ms, maximum 9000"
  [ "$version" = "$last_version false" ] \
    || state_fail "$name alone has $version"
done
request_succeeds () {
  [ "$(curl -s -m 2 -o /dev/null -w '%{http_code}' -H 'Host: orders' \
    "http://${MESH_LISTEN[a]}/orders/1")" = 200 ]
}
state_expect_within 5 "idempotent requests fail without a quorum" \
  request_succeeds
status=$(state_send_order a key-1)
[ "$status" = 503 ] || state_fail "order without a quorum: $status"
state_start_control b
state_expect_within 5 "version is not confirmed after b was restarted" \
  state_all_have_version "$last_version" a b d
state_finish
