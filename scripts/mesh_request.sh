# Functions for tests of the request path; sourced after scripts/mesh.sh.

MESH_FAILURES=0

mesh_fail () {
  MESH_FAILURES=$((MESH_FAILURES + 1))
  echo "FAIL $1"
}

# mesh_expect NAME ACTUAL EXPECTED
mesh_expect () {
  [ "$2" = "$3" ] || mesh_fail "$1: $2, expected $3"
}

# mesh_finish: shows the logs when a check failed and ends the script.
mesh_finish () {
  if [ "$MESH_FAILURES" -gt 0 ]; then
    tail -n 8 "$MESH_DIR"/*.log
    exit 1
  fi
  exit 0
}

# mesh_control NAME...: starts control nodes and waits until they listen.
mesh_control () {
  local node
  mesh_ports "$@"
  mesh_join "$@"
  for node in "$@"; do
    mesh_node "$node" "domain-$node" --control
  done
  for node in "$@"; do
    mesh_until 10 mesh_listens "${MESH_ADMIN[$node]#*:}" \
      || mesh_fail "$node does not start"
  done
}

# mesh_document FILE: first configuration, in force at all nodes of MESH_PID.
mesh_document () {
  local node
  mesh_until 15 mesh_apply "$1" "$2" 0 first || mesh_fail "document refused"
  shift 2
  for node in "$@"; do
    mesh_until 10 mesh_ready "$node" || mesh_fail "$node is not ready"
  done
}

# mesh_serving NODE SERVICE COUNT: NODE lists COUNT serving members.
mesh_serving () {
  local count
  count=$(mesh_get "$1" /v1/members | tr -d ' \n' | tr '{' '\n' \
    | grep "\"service\":\"$2\"" | grep -c '"state":"serving"')
  [ "$count" -eq "$3" ]
}

# mesh_call NODE HOST METHOD PATH [CURL ARGUMENT...]: status, reason and run
# state in REPLY, body in MESH_BODY.
mesh_call () {
  local node=$1 host=$2 method=$3 path=$4
  shift 4
  curl -s -m 15 -o "$MESH_DIR/body" -D "$MESH_DIR/head" -X "$method" \
    -H "Host: $host" "$@" "http://${MESH_LISTEN[$node]}$path"
  REPLY=$(tr -d '\r' <"$MESH_DIR/head" | awk '
    NR == 1 { status = $2 }
    tolower($1) == "proxy-status:" {
      split($0, part, "details=\""); sub("\"", "", part[2]);
      sub("; ", " ", part[2]); detail = " " part[2] }
    END { print status detail }')
  MESH_BODY=$(cat "$MESH_DIR/body" 2>/dev/null)
}

# mesh_starts PATTERN: runs of requests in all journals.
mesh_starts () {
  cat "$MESH_DIR"/*.journal 2>/dev/null | grep ' start ' | grep -c -- "$1"
}
