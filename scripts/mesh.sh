# Functions that start, stop and watch the processes of a mesh on loopback.
# Sourced by bash scripts that run in the root of the repository.  Processes
# are known by a name; each is killed by its own id only.

declare -A MESH_PID MESH_LISTEN MESH_ADMIN MESH_PEER MESH_BACKEND
MESH_BIN=${MESH_BIN:-build}
MESH_DIR=
MESH_PORTS=${TMPDIR:-/tmp}/rudder-mesh-ports
MESH_USED=
MESH_JOIN=

# Makes the temporary folder and stops everything when the script ends.
mesh_begin () {
  MESH_DIR=$(mktemp -d "${TMPDIR:-/tmp}/rudder-mesh.XXXXXX")
  trap mesh_end EXIT
  trap 'exit 130' INT TERM
}

# Kills what still runs and removes the folder.  MESH_KEEP=1 keeps it.
mesh_end () {
  local name
  for name in "${!MESH_PID[@]}"; do
    mesh_kill "$name"
  done
  if [ -n "${MESH_KEEP:-}" ]; then
    echo "files kept in $MESH_DIR"
  else
    rm -rf "$MESH_DIR"
  fi
  for name in $MESH_USED; do
    rmdir "$MESH_PORTS/$name" 2>/dev/null
  done
}

# Sets REPLY to a port on which nothing listens.  Below 32768, so that no
# outgoing connection is given the same port.  A folder for each port keeps
# meshes that run at the same time apart; one that is left over by a killed
# script counts for ten minutes.
mesh_port () {
  mkdir -p "$MESH_PORTS"
  find "$MESH_PORTS" -mindepth 1 -mmin +10 -exec rmdir {} + 2>/dev/null
  while :; do
    REPLY=$((20000 + RANDOM % 12000))
    mkdir "$MESH_PORTS/$REPLY" 2>/dev/null || continue
    MESH_USED="$MESH_USED $REPLY"
    (exec 3<>"/dev/tcp/127.0.0.1/$REPLY") 2>/dev/null || break
  done
}

# mesh_until SECONDS COMMAND...: repeats COMMAND until it succeeds.
mesh_until () {
  local ends=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    [ "$SECONDS" -lt "$ends" ] || return 1
    sleep 0.05
  done
}

mesh_listens () {
  (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null
}

# mesh_start NAME COMMAND...: output goes to NAME.log.
mesh_start () {
  local name=$1
  shift
  "$@" >>"$MESH_DIR/$name.log" 2>&1 &
  MESH_PID[$name]=$!
}

mesh_alive () {
  [ -n "${MESH_PID[$1]:-}" ] && kill -0 "${MESH_PID[$1]}" 2>/dev/null
}

mesh_signal () {
  [ -n "${MESH_PID[$1]:-}" ] || return 1
  kill "-$2" "${MESH_PID[$1]}" 2>/dev/null
}

mesh_kill () {
  [ -n "${MESH_PID[$1]:-}" ] || return 0
  mesh_signal "$1" KILL
  { wait "${MESH_PID[$1]}"; } 2>/dev/null
  unset "MESH_PID[$1]"
}

mesh_ended () {
  ! mesh_alive "$1"
}

# mesh_stop NAME [SECONDS]: SIGTERM; fails when the process does not end in
# time or not with status 0.
mesh_stop () {
  local name=$1 status
  [ -n "${MESH_PID[$name]:-}" ] || return 0
  mesh_signal "$name" TERM
  if ! mesh_until "${2:-10}" mesh_ended "$name"; then
    echo "$name did not stop in ${2:-10} s"
    mesh_kill "$name"
    return 1
  fi
  wait "${MESH_PID[$name]}"
  status=$?
  unset "MESH_PID[$name]"
  [ "$status" -eq 0 ] || echo "$name ended with status $status"
  return "$status"
}

# mesh_ports NAME...: gives each node its ports and lists the peer addresses
# of the control replicas, which are all of them, in MESH_JOIN.
mesh_ports () {
  local name
  for name in "$@"; do
    mesh_port && MESH_LISTEN[$name]=127.0.0.1:$REPLY
    mesh_port && MESH_ADMIN[$name]=127.0.0.1:$REPLY
    mesh_port && MESH_PEER[$name]=127.0.0.1:$REPLY
    mesh_port && MESH_BACKEND[$name]=127.0.0.1:$REPLY
  done
}

mesh_join () {
  local name
  MESH_JOIN=
  for name in "$@"; do
    MESH_JOIN=$MESH_JOIN${MESH_JOIN:+,}${MESH_PEER[$name]}
  done
}

# mesh_node NAME DOMAIN [FLAG...]: starts a node on its ports.
mesh_node () {
  local name=$1 domain=$2
  shift 2
  mkdir -p "$MESH_DIR/$name.data" 2>/dev/null
  mesh_start "$name" "$MESH_BIN/sycamorerudder-node" \
    --listen "${MESH_LISTEN[$name]}" --admin "${MESH_ADMIN[$name]}" \
    --peer "${MESH_PEER[$name]}" --failure-domain "$domain" \
    --instance "$name" --join "$MESH_JOIN" \
    --data-dir "$MESH_DIR/$name.data" "$@"
}

# mesh_fake NAME NODE SERVICE [FLAG...]: a backend server beside NODE.
mesh_fake () {
  local name=$1 node=$2 service=$3
  shift 3
  mesh_start "$name" "$MESH_BIN/rudder-fake" \
    --listen "${MESH_BACKEND[$node]}" --admin "${MESH_ADMIN[$node]}" \
    --service "$service" --journal "$MESH_DIR/$name.journal" "$@"
}

# Body of an admin page.
mesh_get () {
  curl -sf -m 2 "http://${MESH_ADMIN[$1]}$2"
}

mesh_ready () {
  [ "$(curl -s -m 2 -o /dev/null -w '%{http_code}' \
    "http://${MESH_ADMIN[$1]}/v1/ready")" = 200 ]
}

# mesh_apply NODE FILE BASE CHANGE_ID: changes the configuration.
mesh_apply () {
  "$MESH_BIN/rudderctl" --admin "${MESH_ADMIN[$1]}" apply "$2" --base "$3" \
    --change-id "$4"
}

# Value of a counter in the metrics of a node; "0" without it.
mesh_metric () {
  mesh_get "$1" /metrics | awk -v name="$2" \
    '$1 == name || index($1, name "{") == 1 { sum += $2 } END { print sum + 0 }'
}

# mesh_servers NODE SERVICE COUNT: whether NODE knows that many servers.
mesh_servers () {
  [ "$(mesh_get "$1" /v1/members | grep -c "\"service\": \"$2\"")" -ge "$3" ]
}
