# Functions of the measure-* scripts: resource usage of a process, and meshes
# with a given number of nodes.  Sourced after mesh.sh.

# measure_cpu_ns NAME: prints the processor time of all threads in nanoseconds.
# Read from schedstat, as the clock ticks of /proc/PID/stat are too coarse for
# an idle node.  Printed with "%.0f", as some awks limit "%d" to 2^31.
measure_cpu_ns () {
  cat "/proc/${MESH_PID[$1]}/task"/*/schedstat \
    | awk '{ sum += $1 } END { printf "%.0f\n", sum }'
}

# measure_rss_kib NAME: prints the resident memory in KiB.
measure_rss_kib () {
  awk '$1 == "VmRSS:" { print $2 }' "/proc/${MESH_PID[$1]}/status"
}

# measure_io_bytes NAME FIELD: prints a counter of /proc/PID/io: wchar (bytes
# passed to write calls) or write_bytes (bytes written to storage).
measure_io_bytes () {
  awk -v field="$2:" '$1 == field { print $2 }' "/proc/${MESH_PID[$1]}/io"
}

# measure_start_mesh CONTROL PLAIN DOCUMENT: starts c1 ... as control replicas
# and p1 ... as nodes without a replica, applies DOCUMENT and waits until all
# are ready.  Sets MEASURE_CONTROL_NODES and MEASURE_PLAIN_NODES to their names.
measure_start_mesh () {
  local control=$1 plain=$2 document=$3 i names=
  MEASURE_CONTROL_NODES=
  for ((i = 1; i <= control; i++)); do
    MEASURE_CONTROL_NODES="$MEASURE_CONTROL_NODES c$i"
  done
  MEASURE_PLAIN_NODES=
  for ((i = 1; i <= plain; i++)); do
    MEASURE_PLAIN_NODES="$MEASURE_PLAIN_NODES p$i"
  done
  names="$MEASURE_CONTROL_NODES $MEASURE_PLAIN_NODES"
  # shellcheck disable=SC2086
  mesh_reserve_node_ports $names
  # shellcheck disable=SC2086
  mesh_set_join $MEASURE_CONTROL_NODES
  for i in $MEASURE_CONTROL_NODES; do
    mesh_start_node "$i" "$i" --control
  done
  for i in $MEASURE_PLAIN_NODES; do
    mesh_start_node "$i" a
  done
  mesh_wait_until 20 mesh_apply_document c1 "$document" 0 measure-first \
    || return 1
  for i in $names; do
    mesh_wait_until 20 mesh_is_ready "$i" || return 1
  done
}

# measure_find_leader GROUP: prints the control replica that leads a Raft group
# (config or claims).
measure_find_leader () {
  local node
  for node in $MEASURE_CONTROL_NODES; do
    if mesh_get_admin "$node" /v1/status | grep -A4 "\"$1\": {" \
      | grep -q '"role": "leader"'; then
      echo "$node"
      return
    fi
  done
}

# Stops all processes and deletes their data directories.
measure_stop_mesh () {
  local name
  for name in "${!MESH_PID[@]}"; do
    mesh_signal "$name" TERM
  done
  for name in "${!MESH_PID[@]}"; do
    mesh_stop "$name" 10 >/dev/null || mesh_kill "$name"
  done
  rm -rf "$MESH_DIR"/*.data
}

# measure_write_document FILE SERVICES [SLOTS]: writes a document with services
# svc1 ..., each with a non-idempotent kind (POST, needs a claim) and an
# idempotent one (GET).
measure_write_document () {
  local i slots=${3:-16} separator=
  {
    printf '{\n  "format": 1,\n  "headers": ["x-caller-id"],\n'
    printf '  "callers": { "header": "x-caller-id" },\n  "services": [\n'
    for ((i = 1; i <= $2; i++)); do
      printf '%s    { "name": "svc%d", "slots": %d, "connections": %d,\n' \
        "$separator" "$i" "$slots" $((slots * 4))
      printf '      "kinds": [\n'
      printf '        { "name": "write", "method": "POST", "path": "/", '
      printf '"importance": 90,\n          "idempotent": false, '
      printf '"cost": "short", "timeout_ms": 8000, "retries": 1 },\n'
      printf '        { "name": "read", "method": "GET", "path": "/", '
      printf '"importance": 20,\n          "idempotent": true, '
      printf '"cost": "short", "timeout_ms": 8000, "retries": 2 } ] }'
      separator=$',\n'
    done
    printf '\n  ]\n}\n'
  } >"$1"
}
