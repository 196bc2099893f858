# Functions for tests of the request path.  Sourced after mesh.sh.

MESH_FAILURES=0

# mesh_fail TEXT: prints TEXT and counts a failure.
mesh_fail () {
  MESH_FAILURES=$((MESH_FAILURES + 1))
  echo "FAIL $1"
}

# mesh_expect NAME ACTUAL EXPECTED: counts a failure unless the two are equal.
mesh_expect () {
  [ "$2" = "$3" ] || mesh_fail "$1: $2, expected $3"
}

# Ends the script; after a failure, prints the logs and exits with status 1.
mesh_finish () {
  if [ "$MESH_FAILURES" -gt 0 ]; then
    tail -n 8 "$MESH_DIR"/*.log
    exit 1
  fi
  exit 0
}

# mesh_start_control_nodes NAME...: starts control replicas, each in its own
# failure domain, and waits until they listen.
mesh_start_control_nodes () {
  local node
  mesh_reserve_node_ports "$@"
  mesh_set_join "$@"
  for node in "$@"; do
    mesh_start_node "$node" "domain-$node" --control
  done
  for node in "$@"; do
    mesh_wait_until 10 mesh_port_is_open "${MESH_ADMIN[$node]#*:}" \
      || mesh_fail "$node does not start"
  done
}

# mesh_apply_first_document NODE FILE NODE...: applies the first configuration
# through the first NODE and waits until the nodes after FILE are ready.
mesh_apply_first_document () {
  local node
  mesh_wait_until 15 mesh_apply_document "$1" "$2" 0 first \
    || mesh_fail "the first document is not accepted"
  shift 2
  for node in "$@"; do
    mesh_wait_until 10 mesh_is_ready "$node" || mesh_fail "$node is not ready"
  done
}

# mesh_has_serving NODE SERVICE COUNT: whether NODE lists exactly COUNT members
# of SERVICE in state "serving".
mesh_has_serving () {
  local count
  count=$(mesh_get_admin "$1" /v1/members | tr -d ' \n' | tr '{' '\n' \
    | grep "\"service\":\"$2\"" | grep -c '"state":"serving"')
  [ "$count" -eq "$3" ]
}

# mesh_send_request NODE HOST METHOD PATH [CURL ARGUMENT...]: sets REPLY to the
# HTTP status, followed by the reason and the run state of Proxy-Status if
# there is one, and MESH_RESPONSE_BODY to the body.
mesh_send_request () {
  local node=$1 host=$2 method=$3 path=$4
  shift 4
  curl -s -m 15 -o "$MESH_DIR/body" -D "$MESH_DIR/head" -X "$method" \
    -H "Host: $host" "$@" "http://${MESH_LISTEN[$node]}$path"
  REPLY=$(tr -d '\r' <"$MESH_DIR/head" | awk '
    NR == 1 { status = $2 }
    tolower($1) == "proxy-status:" {
      split($0, field, "details=\""); sub("\"", "", field[2]);
      sub("; ", " ", field[2]); details = " " field[2] }
    END { print status details }')
  MESH_RESPONSE_BODY=$(cat "$MESH_DIR/body" 2>/dev/null)
}

# mesh_count_starts PATTERN: prints how many requests that match PATTERN were
# started, by the journals of all fake backend servers.
mesh_count_starts () {
  cat "$MESH_DIR"/*.journal 2>/dev/null | grep ' start ' | grep -c -- "$1"
}
