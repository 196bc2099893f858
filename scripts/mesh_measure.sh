# Functions of the measure-* scripts: what a process has used so far.
# Sourced after mesh.sh.

# Processor time in ns of all threads of a process, from the scheduler: the
# clock ticks of /proc/PID/stat are too coarse for an idle node.  "%.0f",
# as some awks end "%d" at 2^31.
measure_cpu () {
  cat "/proc/${MESH_PID[$1]}/task"/*/schedstat \
    | awk '{ sum += $1 } END { printf "%.0f\n", sum }'
}

# Resident memory in KiB.
measure_rss () {
  awk '$1 == "VmRSS:" { print $2 }' "/proc/${MESH_PID[$1]}/status"
}

# Bytes handed to write calls on files; FIELD is wchar or write_bytes.
measure_io () {
  awk -v field="$2:" '$1 == field { print $2 }' "/proc/${MESH_PID[$1]}/io"
}

# measure_mesh CONTROL PLAIN DOCUMENT [FLAG...]: starts c1 ... as control
# replicas and p1 ... as plain nodes, and puts DOCUMENT in force.
measure_mesh () {
  local control=$1 plain=$2 document=$3 i names=
  MEASURE_CONTROL=
  for ((i = 1; i <= control; i++)); do
    MEASURE_CONTROL="$MEASURE_CONTROL c$i"
  done
  MEASURE_PLAIN=
  for ((i = 1; i <= plain; i++)); do
    MEASURE_PLAIN="$MEASURE_PLAIN p$i"
  done
  names="$MEASURE_CONTROL $MEASURE_PLAIN"
  # shellcheck disable=SC2086
  mesh_ports $names
  # shellcheck disable=SC2086
  mesh_join $MEASURE_CONTROL
  for i in $MEASURE_CONTROL; do
    mesh_node "$i" "$i" --control
  done
  for i in $MEASURE_PLAIN; do
    mesh_node "$i" a
  done
  mesh_until 20 mesh_apply c1 "$document" 0 measure-first || return 1
  for i in $names; do
    mesh_until 20 mesh_ready "$i" || return 1
  done
}

# The control replica that leads group NAME (config or claims).
measure_leader () {
  local i
  for i in $MEASURE_CONTROL; do
    if mesh_get "$i" /v1/status | grep -A4 "\"$1\": {" \
      | grep -q '"role": "leader"'; then
      echo "$i"
      return
    fi
  done
}

# Stops all processes; the next mesh starts with empty disks.
measure_stop () {
  local i
  for i in "${!MESH_PID[@]}"; do
    mesh_signal "$i" TERM
  done
  for i in "${!MESH_PID[@]}"; do
    mesh_stop "$i" 10 >/dev/null || mesh_kill "$i"
  done
  rm -rf "$MESH_DIR"/*.data
}

# measure_document FILE SERVICES [SLOTS]: services svc1 ..., each with a kind
# with claims (POST) and an idempotent one (GET).
measure_document () {
  local i slots=${3:-16} comma=
  {
    printf '{\n  "format": 1,\n  "headers": ["x-caller-id"],\n'
    printf '  "callers": { "header": "x-caller-id" },\n  "services": [\n'
    for ((i = 1; i <= $2; i++)); do
      printf '%s    { "name": "svc%d", "slots": %d, "connections": %d,\n' \
        "$comma" "$i" "$slots" $((slots * 4))
      printf '      "kinds": [\n'
      printf '        { "name": "write", "method": "POST", "path": "/", '
      printf '"importance": 90,\n          "idempotent": false, '
      printf '"cost": "short", "timeout_ms": 8000, "retries": 1 },\n'
      printf '        { "name": "read", "method": "GET", "path": "/", '
      printf '"importance": 20,\n          "idempotent": true, '
      printf '"cost": "short", "timeout_ms": 8000, "retries": 2 } ] }'
      comma=$',\n'
    done
    printf '\n  ]\n}\n'
  } >"$1"
}
