#!/bin/bash
# Rolling restart of five nodes under load.  Guards against requests that are
# interrupted or refused because of a planned stop, a node that does not exit
# with status 0, a leader that stops without a leadership transfer (which
# leaves the group without a leader for an election timeout), and a member
# entry of the old incarnation that hides the new one.
set -u
cd "$(dirname "$0")/.." || exit 1
. scripts/mesh.sh
. scripts/mesh_state.sh
mesh_setup
state_set_control_nodes a b c
mesh_reserve_node_ports d e
state_start_control a b c
state_start_plain d e
state_apply_first_document a b c d e
for node in a b c d e; do
  mesh_start_backend "fake-$node" "$node" orders \
    --service-us 3000 --jitter-percent 50
done

# all_serving_at NODE NAMES: whether NODE lists all NAMES as serving.
all_serving_at () {
  mesh_get_admin "$1" /v1/members | awk -v names="$2" '
    $1 == "\"instance\":" { gsub (/[",]/, "", $2); name = $2 }
    $1 == "\"state\":" && $2 ~ /serving/ { serving[name] = 1 }
    END { n = split (names, wanted, " ")
          for (i = 1; i <= n; i++) if (!(wanted[i] in serving)) exit 1 }'
}

all_serving () {
  local node
  for node in a b c d e; do
    all_serving_at "$node" "a b c d e" || return 1
  done
}

# Whether each Raft group has exactly one leader.
has_leaders () {
  local node config=0 claims=0
  for node in a b c; do
    [ "$(state_role "$node" config)" = leader ] && config=$((config + 1))
    [ "$(state_role "$node" claims)" = leader ] && claims=$((claims + 1))
  done
  [ "$config $claims" = "1 1" ]
}

# incarnation NODE: prints the incarnation in the status of NODE.
incarnation () {
  mesh_get_admin "$1" /v1/status | sed -n 's/.*"incarnation": \([0-9]*\).*/\1/p'
}

# restart_under_load NODE FIRST SECOND: stops and starts NODE while requests go
# through FIRST and SECOND.
restart_under_load () {
  local node=$1 first=$2 second=$3 old_incarnation was_leader started_ms
  mesh_start_process "load-$node" "$MESH_BIN/rudder-load" \
    --host orders --rate 60 \
    --target "${MESH_LISTEN[$first]},${MESH_LISTEN[$second]}" --seconds 2 \
    --timeout-ms 5000 --request "GET /orders/{n}/bytes/2000 3" \
    --request "POST /orders/{n}/bytes/100 1 bytes=500 key"
  old_incarnation=$(incarnation "$node")
  was_leader=
  [ "$(state_role "$node" config)" = leader ] && was_leader=1
  sleep 0.5
  state_now_ms
  started_ms=$REPLY
  mesh_stop "$node" 10 || state_fail "$node did not exit with status 0"
  state_now_ms
  echo "$node: stopped in $((REPLY - started_ms)) ms${was_leader:+, was leader}"
  if [ -n "$was_leader" ]; then
    grep -q 'leadership handed over" group=0' "$MESH_DIR/$node.log" \
      || state_fail "$node was leader and did not transfer its leadership"
  fi
  case $node in
    a|b|c) state_start_control "$node" ;;
    *) state_start_plain "$node" ;;
  esac
  state_expect_within 5 "$node is not ready" mesh_is_ready "$node"
  state_expect_within 8 "not all are listed as serving after $node" all_serving
  state_expect_within 5 "a group has no leader after $node" has_leaders
  [ "$(incarnation "$node")" -gt "$old_incarnation" ] \
    || state_fail "$node: the incarnation did not increase"
  mesh_wait_until 10 mesh_has_exited "load-$node" \
    || state_fail "load-$node does not end"
  check_load "load-$node"
}

# check_load NAME: each call of the load got a whole response.
check_load () {
  local counts
  counts=$(sed -n \
    's/^label all .*\bcalls \([0-9]*\).*\bwhole \([0-9]*\).*/\1 \2/p' \
    "$MESH_DIR/$1.log")
  echo "$1: ${counts#* } of ${counts% *} calls got a whole response"
  if [ -z "$counts" ] || [ "${counts% *}" != "${counts#* }" ]; then
    state_fail "$1" "$(cat "$MESH_DIR/$1.log")"
  fi
}

state_expect_within 8 "not all are listed as serving" all_serving
state_expect_within 5 "a group has no leader" has_leaders
# The present leader is restarted first, so that a leader is restarted in every
# run.
state_find_leader a b c
leader=$REPLY
restart_under_load "$leader" d e
for node in a b c; do
  [ "$node" = "$leader" ] || restart_under_load "$node" d e
done
restart_under_load d a e
restart_under_load e d b
repeated_keys=$(sed -n 's/.* start POST .* \(key=[^ ]*\) .*/\1/p' \
  "$MESH_DIR"/*.journal | sort | uniq -d)
[ -z "$repeated_keys" ] \
  || state_fail "orders that ran more than once" "$repeated_keys"
state_finish
