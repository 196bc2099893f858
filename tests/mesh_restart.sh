#!/bin/bash
# Restart of all nodes after 700 changes, and a node that finds no quorum.
# Guards against a process that comes back with an old configuration or late,
# one that takes work before a quorum confirmed its version, and one that
# never takes work, or claims to be confirmed, while no quorum is in reach.
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
last=700

# One connection, one change after the other.
for ((base = 1; base < last; base++)); do
  echo "url = \"http://${MESH_ADMIN[b]}/v1/document?base=$base&change_id=c-$base\""
  echo "request = PUT"
  echo "data-binary = \"@$STATE_DOCUMENT\""
  echo "silent"
  echo "next"
done | sed '$d' >"$MESH_DIR/changes"
state_ms
began=$REPLY
curl -K "$MESH_DIR/changes" >"$MESH_DIR/answers" 2>&1
state_ms
echo "changes accepted: $(grep -c accepted "$MESH_DIR/answers") in" \
  "$((REPLY - began)) ms"
[ "$(grep -c accepted "$MESH_DIR/answers")" -eq $((last - 1)) ] \
  || state_fail "not all changes were accepted" "$(tail -n 3 "$MESH_DIR/answers")"
state_must_in 5 "version $last is not in force" state_all_have "$last" a b c d

# Sets REPLY to the time from the start of all until the slowest is ready.
restart_all () {
  local name ready
  state_kill a b c d
  state_ms
  began=$REPLY
  state_start a b c
  state_start_plain d
  for name in a b c d; do
    state_must_in 10 "$name is not ready" mesh_ready "$name"
    # It takes work from here on: with the current version only.
    ready=$(state_version "$name")
    [ "$ready" = "$last true" ] || state_fail "$name is ready with $ready"
  done
  state_ms
  REPLY=$((REPLY - began))
}

for round in 1 2 3; do
  restart_all
  echo "all nodes ready with version $last after: $REPLY ms (bound 2000)"
  [ "$REPLY" -le 2000 ] || state_fail "round $round: ready after $REPLY ms"
done

# One replica alone, and one node without a replica.
state_kill a b c d
state_ms
began=$REPLY
state_start a
state_start_plain d
mesh_fake fake a orders
for name in a d; do
  state_must_in 12 "$name alone is not ready" mesh_ready "$name"
  state_ms
  waited=$((REPLY - began))
  seen=$(state_version "$name")
  echo "$name without a quorum: \"$seen\" after $waited ms"
  [ "$waited" -ge 5000 ] || state_fail "$name did not wait for a quorum"
  [ "$waited" -le 9000 ] || state_fail "$name waited for $waited ms"
  [ "$seen" = "$last false" ] || state_fail "$name alone has $seen"
done
served () {
  [ "$(curl -s -m 2 -o /dev/null -w '%{http_code}' -H 'Host: orders' \
    "http://${MESH_LISTEN[a]}/orders/1")" = 200 ]
}
state_must_in 5 "idempotent request without a quorum" served
status=$(state_order a key-1)
[ "$status" = 503 ] || state_fail "order without a quorum: $status"
state_start b
state_must_in 5 "no confirmation once a quorum is back" \
  state_all_have "$last" a b d
state_finish
