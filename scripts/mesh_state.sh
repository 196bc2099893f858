# Functions for tests of the shared state, on top of scripts/mesh.sh.

STATE_FAILURES=0
STATE_DOCUMENT=
STATE_FLAGS=() # of all nodes

state_fail () {
  STATE_FAILURES=$((STATE_FAILURES + 1))
  echo "FAIL $1"
  [ $# -lt 2 ] || echo "$2"
}

# state_must TEXT COMMAND...: counts a failure when COMMAND fails.
state_must () {
  local text=$1
  shift
  "$@" || state_fail "$text"
}

# state_must_in SECONDS TEXT COMMAND...: as state_must, repeated until then.
state_must_in () {
  local seconds=$1 text=$2
  shift 2
  mesh_until "$seconds" "$@" || state_fail "$text (not within $seconds s)"
}

# state_order NODE KEY: status of a non-idempotent request.
state_order () {
  curl -s -m 8 -o /dev/null -w '%{http_code}' -X POST -H 'Host: orders' \
    -H "Idempotency-Key: $2" -d "order $2" "http://${MESH_LISTEN[$1]}/orders"
}

state_ordered () {
  [ "$(state_order "$1" "$2")" = 200 ]
}

# state_order_until SECONDS NODE PREFIX: sends orders, each under a new key,
# until one is done.  Its key goes to orders.done.
state_order_until () {
  local ends=$((SECONDS + $1)) number=0
  while [ "$SECONDS" -lt "$ends" ]; do
    if state_ordered "$2" "$3-$((++number))"; then
      echo "$3-$number" >>"$MESH_DIR/orders.done"
      return 0
    fi
    sleep 0.05
  done
  return 1
}

# state_orders_end NODE JOURNAL...: resends what was done, and fails when a
# resend is refused or a key ran more than once.
state_orders_end () {
  local node=$1 key twice
  shift
  while read -r key; do
    state_ordered "$node" "$key" || state_fail "resend of $key is refused"
  done <"$MESH_DIR/orders.done"
  twice=$(sed -n 's/.* start POST .* \(key=[^ ]*\) .*/\1/p' "$@" | sort | uniq -d)
  [ -z "$twice" ] || state_fail "keys that ran more than once" "$twice"
  echo "orders done and resent: $(wc -l <"$MESH_DIR/orders.done"), run:" \
    "$(cat "$@" | grep -c ' start POST ')"
}

# state_load NAME NODE FLAG...: idempotent requests in the background.
state_load () {
  local name=$1 node=$2
  shift 2
  mesh_start "$name" "$MESH_BIN/rudder-load" --target "${MESH_LISTEN[$node]}" \
    --host orders --request "GET /orders/{n}/bytes/300 1" "$@"
}

# Ends a test: prints the logs after a failure.
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

state_ms () {
  REPLY=$(($(date +%s%N) / 1000000))
}

# state_nodes NAME...: ports for control nodes that list each other; each is
# its own failure domain.
state_nodes () {
  mesh_ports "$@"
  mesh_join "$@"
}

state_start () {
  local name
  for name in "$@"; do
    mesh_node "$name" "domain-$name" --control "${STATE_FLAGS[@]}"
  done
}

# state_start_plain NAME...: nodes without a replica.
state_start_plain () {
  local name
  for name in "$@"; do
    mesh_node "$name" "domain-$name" "${STATE_FLAGS[@]}"
  done
}

state_kill () {
  local name
  for name in "$@"; do
    mesh_signal "$name" KILL
  done
  for name in "$@"; do
    mesh_kill "$name"
  done
}

# state_document NUMBER FILE: a valid document that differs by NUMBER.
state_document () {
  sed "s/\"quarantine_s\": [0-9]*/\"quarantine_s\": $1/" "$STATE_DOCUMENT" \
    >"$2"
}

# Prints "number confirmed" of a node's status; fails when it is not reached.
state_version () {
  mesh_get "$1" /v1/status | awk '
    /"confirmed":/ { gsub (/[ ,]/, ""); sub (/.*:/, ""); confirmed = $0 }
    /"number":/ { gsub (/[^0-9]/, ""); number = $0 }
    END { if (number == "") exit 1; print number, confirmed }'
}

# state_has NODE NUMBER: version NUMBER or a newer one is in force, confirmed.
state_has () {
  local seen
  seen=$(state_version "$1") || return 1
  [ "${seen% *}" -ge "$2" ] && [ "${seen#* }" = true ]
}

state_all_have () {
  local number=$1 name
  shift
  for name in "$@"; do
    state_has "$name" "$number" || return 1
  done
}

# Number in a successful output of rudderctl apply.
state_accepted () {
  sed -n 's/^accepted as version \([0-9]*\)$/\1/p'
}

# state_change NODE FILE BASE ID [FLAG...]: REPLY is the number of the
# accepted version; fails otherwise.
state_change () {
  local node=$1 file=$2 base=$3 id=$4
  shift 4
  REPLY=$("$MESH_BIN/rudderctl" --admin "${MESH_ADMIN[$node]}" apply "$file" \
    --base "$base" --change-id "$id" --quiet "$@" 2>>"$MESH_DIR/apply.log" \
    | state_accepted)
  [ -n "$REPLY" ]
}

# A document with one service that has an idempotent and a non-idempotent kind.
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

# First version, on all nodes.
state_begin () {
  state_write_document
  mesh_until 10 state_change "$1" "$STATE_DOCUMENT" 0 first \
    || state_fail "first document is not accepted"
  state_must_in 10 "first version is not in force" state_all_have 1 "$@"
}

# state_role NODE GROUP: role of its replica in "config" or "claims".
state_role () {
  mesh_get "$1" /v1/status | awk -v group="\"$2\":" '
    $1 == group { inside = 1 }
    inside && $1 == "\"role\":" { gsub (/[",]/, "", $2); print $2; exit }'
}

# state_leader NODE...: sets REPLY to the one that leads the configuration.
state_leader () {
  local name
  for name in "$@"; do
    if [ "$(state_role "$name" config)" = leader ]; then
      REPLY=$name
      return 0
    fi
  done
  return 1
}

# Polls the versions of all nodes into versions.seen until it is killed.
state_poll () {
  local name
  while :; do
    for name in "$@"; do
      REPLY=$(state_version "$name") && echo "$name $REPLY"
    done
    sleep 0.02
  done >>"$MESH_DIR/versions.seen"
}

state_watch () {
  state_poll "$@" &
  MESH_PID[watch]=$!
}

# Ends state_watch() and fails when a version went back; 0 is none in force.
state_watch_end () {
  mesh_kill watch
  REPLY=$(awk '
    $2 > 0 && $2 < last[$1] { print "seen", last[$1], "then", $2, "at", $1 }
    $2 > 0 { last[$1] = $2; seen++ }
    END { if (!seen) print "no version was seen" }' "$MESH_DIR/versions.seen")
  [ -z "$REPLY" ] || state_fail "versions went back" "$REPLY"
  echo "versions polled: $(wc -l <"$MESH_DIR/versions.seen")"
}
