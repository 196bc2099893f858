# Functions for tests of the replicated state.  Sourced after mesh.sh.

STATE_FAILURES=0
STATE_DOCUMENT= # path of the first document; see state_write_document
STATE_NODE_FLAGS=() # flags of every node that is started

# state_fail TEXT [DETAILS]: prints both and counts a failure.
state_fail () {
  STATE_FAILURES=$((STATE_FAILURES + 1))
  echo "FAIL $1"
  [ $# -lt 2 ] || echo "$2"
}

# state_expect TEXT COMMAND...: counts a failure, reported as TEXT, when
# COMMAND fails.
state_expect () {
  local text=$1
  shift
  "$@" || state_fail "$text"
}

# state_expect_within SECONDS TEXT COMMAND...: as state_expect; repeats COMMAND
# until it succeeds or SECONDS have passed.
state_expect_within () {
  local seconds=$1 text=$2
  shift 2
  mesh_wait_until "$seconds" "$@" || state_fail "$text (not within $seconds s)"
}

# state_send_order NODE KEY: sends a non-idempotent request with this
# idempotency key; prints the HTTP status.
state_send_order () {
  curl -s -m 8 -o /dev/null -w '%{http_code}' -X POST -H 'Host: orders' \
    -H "Idempotency-Key: $2" -d "order $2" "http://${MESH_LISTEN[$1]}/orders"
}

# state_order_succeeds NODE KEY: sends an order; fails unless its status is
# 200.
state_order_succeeds () {
  [ "$(state_send_order "$1" "$2")" = 200 ]
}

# state_order_within SECONDS NODE PREFIX: sends orders, each with a new key
# that begins with PREFIX, until one succeeds.  Appends its key to orders.done.
state_order_within () {
  local deadline=$((SECONDS + $1)) number=0
  while [ "$SECONDS" -lt "$deadline" ]; do
    if state_order_succeeds "$2" "$3-$((++number))"; then
      echo "$3-$number" >>"$MESH_DIR/orders.done"
      return 0
    fi
    sleep 0.05
  done
  return 1
}

# state_check_orders NODE JOURNAL...: resends the orders that succeeded; counts
# a failure when a resend does not get 200 or a key was run more than once.
state_check_orders () {
  local node=$1 key repeated_keys
  shift
  while read -r key; do
    state_order_succeeds "$node" "$key" \
      || state_fail "resend of $key is refused"
  done <"$MESH_DIR/orders.done"
  repeated_keys=$(sed -n 's/.* start POST .* \(key=[^ ]*\) .*/\1/p' "$@" \
    | sort | uniq -d)
  [ -z "$repeated_keys" ] \
    || state_fail "keys that ran more than once" "$repeated_keys"
  echo "orders that succeeded and were resent:" \
    "$(wc -l <"$MESH_DIR/orders.done"), runs:" \
    "$(cat "$@" | grep -c ' start POST ')"
}

# state_start_load NAME NODE FLAG...: sends idempotent requests in the
# background.
state_start_load () {
  local name=$1 node=$2
  shift 2
  mesh_start_process "$name" "$MESH_BIN/rudder-load" \
    --target "${MESH_LISTEN[$node]}" \
    --host orders --request "GET /orders/{n}/bytes/300 1" "$@"
}

# Ends the script; after a failure, prints the logs and exits with status 1.
state_finish () {
  local name
  if [ "$STATE_FAILURES" -ne 0 ]; then
    for name in "$MESH_DIR"/*.log; do
      echo "--- $(basename "$name")"
      tail -n 12 "$name"
    done
    echo "$STATE_FAILURES failures"
    exit 1
  fi
  exit 0
}

# Sets REPLY to the present time in milliseconds.
state_now_ms () {
  REPLY=$(($(date +%s%N) / 1000000))
}

# state_set_control_nodes NAME...: reserves the ports of the control replicas
# and sets the --join list to them.
state_set_control_nodes () {
  mesh_reserve_node_ports "$@"
  mesh_set_join "$@"
}

# state_start_control NAME...: starts control replicas, each in its own failure
# domain.
state_start_control () {
  local name
  for name in "$@"; do
    mesh_start_node "$name" "domain-$name" --control "${STATE_NODE_FLAGS[@]}"
  done
}

# state_start_plain NAME...: starts nodes without a replica.
state_start_plain () {
  local name
  for name in "$@"; do
    mesh_start_node "$name" "domain-$name" "${STATE_NODE_FLAGS[@]}"
  done
}

# state_kill NAME...: kills processes at the same time.
state_kill () {
  local name
  for name in "$@"; do
    mesh_signal "$name" KILL
  done
  for name in "$@"; do
    mesh_kill "$name"
  done
}

# state_write_variant NUMBER FILE: writes a valid document that differs from
# the first one in a value, NUMBER.
state_write_variant () {
  sed "s/\"quarantine_s\": [0-9]*/\"quarantine_s\": $1/" "$STATE_DOCUMENT" \
    >"$2"
}

# state_version NODE: prints the number of the version in force and whether it
# is confirmed ("true" or "false"); fails when NODE does not answer.
state_version () {
  mesh_get_admin "$1" /v1/status | awk '
    /"confirmed":/ { gsub (/[ ,]/, ""); sub (/.*:/, ""); confirmed = $0 }
    /"number":/ { gsub (/[^0-9]/, ""); number = $0 }
    END { if (number == "") exit 1; print number, confirmed }'
}

# state_has_version NODE NUMBER: whether version NUMBER or a newer one is in
# force and confirmed.
state_has_version () {
  local version
  version=$(state_version "$1") || return 1
  [ "${version% *}" -ge "$2" ] && [ "${version#* }" = true ]
}

# state_all_have_version NUMBER NODE...
state_all_have_version () {
  local number=$1 name
  shift
  for name in "$@"; do
    state_has_version "$name" "$number" || return 1
  done
}

# Prints the version number in the output of a successful "rudderctl apply",
# read from standard input.
state_parse_accepted () {
  sed -n 's/^accepted as version \([0-9]*\)$/\1/p'
}

# state_apply_document NODE FILE BASE ID [FLAG...]: sets REPLY to the number of
# the accepted version; fails when the change is not accepted.
state_apply_document () {
  local node=$1 file=$2 base=$3 id=$4
  shift 4
  REPLY=$("$MESH_BIN/rudderctl" --admin "${MESH_ADMIN[$node]}" apply "$file" \
    --base "$base" --change-id "$id" --quiet "$@" 2>>"$MESH_DIR/apply.log" \
    | state_parse_accepted)
  [ -n "$REPLY" ]
}

# Writes a document with one service that has a non-idempotent and an
# idempotent kind, and sets STATE_DOCUMENT to its path.
state_write_document () {
  STATE_DOCUMENT=$MESH_DIR/document.json
  cat >"$STATE_DOCUMENT" <<'EOF'
{ "format": 1, "quarantine_s": 300, "headers": ["x-caller-id"],
  "services": [ { "name": "orders", "slots": 20, "connections": 100,
    "kinds": [
      { "name": "place", "method": "POST", "path": "/orders",
        "importance": 90, "idempotent": false, "timeout_ms": 5000 },
      { "name": "show", "method": "GET", "path": "/orders",
        "importance": 50, "idempotent": true, "timeout_ms": 5000 } ] } ] }
EOF
}

# state_apply_first_document NODE...: applies the first version through the
# first NODE and waits until it is in force on all.
state_apply_first_document () {
  state_write_document
  mesh_wait_until 10 state_apply_document "$1" "$STATE_DOCUMENT" 0 first \
    || state_fail "first document is not accepted"
  state_expect_within 10 "first version is not in force" \
    state_all_have_version 1 "$@"
}

# state_role NODE GROUP: prints the Raft role of its replica in "config" or
# "claims".
state_role () {
  mesh_get_admin "$1" /v1/status | awk -v group="\"$2\":" '
    $1 == group { inside = 1 }
    inside && $1 == "\"role\":" { gsub (/[",]/, "", $2); print $2; exit }'
}

# state_find_leader NODE...: sets REPLY to the leader of the configuration
# group; fails when none of them leads.
state_find_leader () {
  local name
  for name in "$@"; do
    if [ "$(state_role "$name" config)" = leader ]; then
      REPLY=$name
      return 0
    fi
  done
  return 1
}

# state_poll_versions NODE...: appends the versions of all nodes to
# versions.polled until it is killed.
state_poll_versions () {
  local name
  while :; do
    for name in "$@"; do
      REPLY=$(state_version "$name") && echo "$name $REPLY"
    done
    sleep 0.02
  done >>"$MESH_DIR/versions.polled"
}

# state_start_polling NODE...: runs state_poll_versions in the background.
state_start_polling () {
  state_poll_versions "$@" &
  MESH_PID[version-poll]=$!
}

# Stops polling and counts a failure when the version of a node decreased.
# Version 0 means that none is in force and is ignored.
state_check_polled_versions () {
  mesh_kill version-poll
  REPLY=$(awk '
    $2 > 0 && $2 < last[$1] { print "version", last[$1], "then", $2, "at", $1 }
    $2 > 0 { last[$1] = $2; polled++ }
    END { if (!polled) print "no version was polled" }' "$MESH_DIR/versions.polled")
  [ -z "$REPLY" ] || state_fail "a version decreased" "$REPLY"
  echo "versions polled: $(wc -l <"$MESH_DIR/versions.polled")"
}
