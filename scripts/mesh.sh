# Starts, stops and queries the processes of a mesh on loopback.  Sourced by
# bash scripts that run in the root of the repository.  Each process has a
# name; signals go only to the process ids recorded in MESH_PID.

# MESH_PID holds process ids by process name; the others hold addresses
# ("host:port") by node name: those of the node's listeners, and that of the
# backend server beside it (MESH_BACKEND).
declare -A MESH_PID MESH_LISTEN MESH_ADMIN MESH_PEER MESH_BACKEND
MESH_BIN=${MESH_BIN:-build} # directory of the programs
MESH_DIR= # temporary directory for logs, journals and data directories
MESH_RESERVATION_DIR=${TMPDIR:-/tmp}/rudder-mesh-ports
MESH_RESERVED_PORTS=
MESH_JOIN= # --join list of nodes that are started

# Creates the temporary folder MESH_DIR and installs mesh_cleanup as exit trap.
mesh_setup () {
  MESH_DIR=$(mktemp -d "${TMPDIR:-/tmp}/rudder-mesh.XXXXXX")
  trap mesh_cleanup EXIT
  trap 'exit 130' INT TERM
}

# Kills the processes that still run, removes MESH_DIR unless MESH_KEEP is set,
# and releases the reserved ports.
mesh_cleanup () {
  local name
  for name in "${!MESH_PID[@]}"; do
    mesh_kill "$name"
  done
  if [ -n "${MESH_KEEP:-}" ]; then
    echo "files kept in $MESH_DIR"
  else
    rm -rf "$MESH_DIR"
  fi
  for name in $MESH_RESERVED_PORTS; do
    rmdir "$MESH_RESERVATION_DIR/$name" 2>/dev/null
  done
}

# Sets REPLY to a port on which nothing listens.  Ports are below 32768, as the
# kernel takes ephemeral ports for outgoing connections from there on.  A
# folder for each port reserves it against meshes that run at the same time;
# the reservations of a killed script expire after ten minutes.
mesh_reserve_port () {
  mkdir -p "$MESH_RESERVATION_DIR"
  find "$MESH_RESERVATION_DIR" -mindepth 1 -mmin +10 -exec rmdir {} + 2>/dev/null
  while :; do
    REPLY=$((20000 + RANDOM % 12000))
    mkdir "$MESH_RESERVATION_DIR/$REPLY" 2>/dev/null || continue
    MESH_RESERVED_PORTS="$MESH_RESERVED_PORTS $REPLY"
    (exec 3<>"/dev/tcp/127.0.0.1/$REPLY") 2>/dev/null || break
  done
}

# mesh_wait_until SECONDS COMMAND...: repeats COMMAND until it succeeds; fails
# after SECONDS.
mesh_wait_until () {
  local deadline=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    [ "$SECONDS" -lt "$deadline" ] || return 1
    sleep 0.05
  done
}

# mesh_port_is_open PORT: whether a connection to PORT is accepted.
mesh_port_is_open () {
  (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null
}

# mesh_start_process NAME COMMAND...: runs COMMAND in the background; its
# output is appended to NAME.log.
mesh_start_process () {
  local name=$1
  shift
  "$@" >>"$MESH_DIR/$name.log" 2>&1 &
  MESH_PID[$name]=$!
}

mesh_is_running () {
  [ -n "${MESH_PID[$1]:-}" ] && kill -0 "${MESH_PID[$1]}" 2>/dev/null
}

# mesh_signal NAME SIGNAL
mesh_signal () {
  [ -n "${MESH_PID[$1]:-}" ] || return 1
  kill "-$2" "${MESH_PID[$1]}" 2>/dev/null
}

# mesh_kill NAME: SIGKILL; returns when the process has exited.
mesh_kill () {
  [ -n "${MESH_PID[$1]:-}" ] || return 0
  mesh_signal "$1" KILL
  { wait "${MESH_PID[$1]}"; } 2>/dev/null
  unset "MESH_PID[$1]"
}

mesh_has_exited () {
  ! mesh_is_running "$1"
}

# mesh_stop NAME [SECONDS]: SIGTERM; fails when the process does not exit with
# status 0 within SECONDS (default 10).
mesh_stop () {
  local name=$1 status
  [ -n "${MESH_PID[$name]:-}" ] || return 0
  mesh_signal "$name" TERM
  if ! mesh_wait_until "${2:-10}" mesh_has_exited "$name"; then
    echo "$name did not exit within ${2:-10} s"
    mesh_kill "$name"
    return 1
  fi
  wait "${MESH_PID[$name]}"
  status=$?
  unset "MESH_PID[$name]"
  [ "$status" -eq 0 ] || echo "$name exited with status $status"
  return "$status"
}

# mesh_reserve_node_ports NAME...: assigns each node its listen, admin, peer
# and backend server addresses.
mesh_reserve_node_ports () {
  local name
  for name in "$@"; do
    mesh_reserve_port && MESH_LISTEN[$name]=127.0.0.1:$REPLY
    mesh_reserve_port && MESH_ADMIN[$name]=127.0.0.1:$REPLY
    mesh_reserve_port && MESH_PEER[$name]=127.0.0.1:$REPLY
    mesh_reserve_port && MESH_BACKEND[$name]=127.0.0.1:$REPLY
  done
}

# mesh_set_join NAME...: sets MESH_JOIN, the --join list of later nodes, to the
# peer addresses of these control replicas.
mesh_set_join () {
  local name
  MESH_JOIN=
  for name in "$@"; do
    MESH_JOIN=$MESH_JOIN${MESH_JOIN:+,}${MESH_PEER[$name]}
  done
}

# mesh_start_node NAME DOMAIN [FLAG...]: starts a node in failure domain DOMAIN
# on its reserved ports.
mesh_start_node () {
  local name=$1 domain=$2
  shift 2
  mkdir -p "$MESH_DIR/$name.data" 2>/dev/null
  mesh_start_process "$name" "$MESH_BIN/sycamorerudder-node" \
    --listen "${MESH_LISTEN[$name]}" --admin "${MESH_ADMIN[$name]}" \
    --peer "${MESH_PEER[$name]}" --failure-domain "$domain" \
    --instance "$name" --join "$MESH_JOIN" \
    --data-dir "$MESH_DIR/$name.data" "$@"
}

# mesh_start_backend NAME NODE SERVICE [FLAG...]: starts a fake backend server
# that announces itself to NODE and writes its requests to NAME.journal.
mesh_start_backend () {
  local name=$1 node=$2 service=$3
  shift 3
  mesh_start_process "$name" "$MESH_BIN/rudder-fake" \
    --listen "${MESH_BACKEND[$node]}" --admin "${MESH_ADMIN[$node]}" \
    --service "$service" --journal "$MESH_DIR/$name.journal" "$@"
}

# mesh_get_admin NODE PATH: prints the response body of the admin interface;
# fails when NODE does not respond or the status is 400 or higher.
mesh_get_admin () {
  curl -sf -m 2 "http://${MESH_ADMIN[$1]}$2"
}

# mesh_is_ready NODE: whether /v1/ready returns 200.
mesh_is_ready () {
  [ "$(curl -s -m 2 -o /dev/null -w '%{http_code}' \
    "http://${MESH_ADMIN[$1]}/v1/ready")" = 200 ]
}

# mesh_apply_document NODE FILE BASE CHANGE_ID: replaces the configuration if
# BASE is the version in force.
mesh_apply_document () {
  "$MESH_BIN/rudderctl" --admin "${MESH_ADMIN[$1]}" apply "$2" --base "$3" \
    --change-id "$4"
}

# mesh_metric NODE NAME: prints the sum of a counter over its labels; 0 when
# the node does not export it.
mesh_metric () {
  mesh_get_admin "$1" /metrics | awk -v name="$2" \
    '$1 == name || index($1, name "{") == 1 { sum += $2 } END { print sum + 0 }'
}

# mesh_has_servers NODE SERVICE COUNT: whether NODE lists COUNT or more servers
# of SERVICE, in any state.
mesh_has_servers () {
  [ "$(mesh_get_admin "$1" /v1/members \
    | grep -c "\"service\": \"$2\"")" -ge "$3" ]
}
