#!/bin/bash
# Rolling restart of five nodes under load.  Guards against requests that are
# cut off or refused by a planned stop, a node that does not end with status
# 0, a leader that stops without handing over (an election timeout without a
# leader), and an old incarnation that hides the new one.
set -u
cd "$(dirname "$0")/.." || exit 1
. scripts/mesh.sh
. scripts/mesh_state.sh
mesh_begin
state_nodes a b c
mesh_ports d e
state_start a b c
state_start_plain d e
state_begin a b c d e
for node in a b c d e; do
  mesh_fake "fake-$node" "$node" orders --service-us 3000 --jitter-percent 50
done

serving () {
  mesh_get "$1" /v1/members | awk -v names="$2" '
    $1 == "\"instance\":" { gsub (/[",]/, "", $2); name = $2 }
    $1 == "\"state\":" && $2 ~ /serving/ { seen[name] = 1 }
    END { n = split (names, want, " ")
          for (i = 1; i <= n; i++) if (!(want[i] in seen)) exit 1 }'
}

all_serving () {
  local node
  for node in a b c d e; do
    serving "$node" "a b c d e" || return 1
  done
}

has_leaders () {
  local node config=0 claims=0
  for node in a b c; do
    [ "$(state_role "$node" config)" = leader ] && config=$((config + 1))
    [ "$(state_role "$node" claims)" = leader ] && claims=$((claims + 1))
  done
  [ "$config $claims" = "1 1" ]
}

incarnation () {
  mesh_get "$1" /v1/status | sed -n 's/.*"incarnation": \([0-9]*\).*/\1/p'
}

# Load through two nodes that stay up while the third is restarted.
restart () {
  local node=$1 first=$2 second=$3 old was_leader began
  mesh_start "load-$node" "$MESH_BIN/rudder-load" --host orders --rate 60 \
    --target "${MESH_LISTEN[$first]},${MESH_LISTEN[$second]}" --seconds 2 \
    --timeout-ms 5000 --request "GET /orders/{n}/bytes/2000 3" \
    --request "POST /orders/{n}/bytes/100 1 bytes=500 key"
  old=$(incarnation "$node")
  was_leader=
  [ "$(state_role "$node" config)" = leader ] && was_leader=1
  sleep 0.5
  state_ms
  began=$REPLY
  mesh_stop "$node" 10 || state_fail "$node did not end with status 0"
  state_ms
  echo "$node: stopped in $((REPLY - began)) ms${was_leader:+, was leader}"
  if [ -n "$was_leader" ]; then
    grep -q 'leadership handed over" group=0' "$MESH_DIR/$node.log" \
      || state_fail "$node led and did not hand over"
  fi
  case $node in
    a|b|c) state_start "$node" ;;
    *) state_start_plain "$node" ;;
  esac
  state_must_in 5 "$node is not ready" mesh_ready "$node"
  state_must_in 8 "not all are serving after $node" all_serving
  state_must_in 5 "no leaders after $node" has_leaders
  [ "$(incarnation "$node")" -gt "$old" ] || state_fail "$node: incarnation"
  mesh_until 10 mesh_ended "load-$node" || state_fail "load-$node does not end"
  check_load "load-$node"
}

check_load () {
  local counts
  counts=$(sed -n \
    's/^label all .*\bcalls \([0-9]*\).*\bwhole \([0-9]*\).*/\1 \2/p' \
    "$MESH_DIR/$1.log")
  echo "$1: ${counts#* } of ${counts% *} calls got a whole answer"
  if [ -z "$counts" ] || [ "${counts% *}" != "${counts#* }" ]; then
    state_fail "$1" "$(cat "$MESH_DIR/$1.log")"
  fi
}

state_must_in 8 "not all are serving" all_serving
state_must_in 5 "no leaders" has_leaders
# The leader first, so that it is surely one that is restarted.
state_leader a b c
leader=$REPLY
restart "$leader" d e
for node in a b c; do
  [ "$node" = "$leader" ] || restart "$node" d e
done
restart d a e
restart e d b
runs=$(sed -n 's/.* start POST .* \(key=[^ ]*\) .*/\1/p' "$MESH_DIR"/*.journal \
  | sort | uniq -d)
[ -z "$runs" ] || state_fail "orders that ran more than once" "$runs"
state_finish
