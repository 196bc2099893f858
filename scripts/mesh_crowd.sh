# Crowds of clients that are not under control, against the processes of a
# small platform with lowered limits.  Sourced after mesh.sh and
# mesh_platform.sh.  Three control replicas c1 to c3, and two sidecar nodes: n4
# without a server, n5 beside the server of service b.

# Limits of each process, as in its settings, and of a request body.
CROWD_MEMORY_MB=64
CROWD_DESCRIPTORS=1000
CROWD_BODY_BYTES_MAX=67108864
# The longest body inside the limits.
CROWD_UPLOAD_BYTES=$CROWD_BODY_BYTES_MAX
# Time that a caller waits for the answer to an ordinary request, its resends
# included.
CROWD_PATIENCE_S=10
# Bound of the wait for the start and for changes of the configuration, which
# sync files; only a hang reaches it.
CROWD_START_S=60
# Bound of the wait for a crowd that goes on sending or receiving.
CROWD_SETTLE_S=8
CROWD_FAILURES=0
CROWD_VERSION=1 # of the configuration in force
CROWD_NODES="n4 n5"
CROWD_PROCESSES="c1 c2 c3 $CROWD_NODES"
declare -A CROWD_IP=([c1]=127.0.0.1 [c2]=127.0.0.2 [c3]=127.0.0.3
  [n4]=127.0.0.4 [n5]=127.0.0.5)

# crowd_fail TEXT: counts a failure of the current case.
crowd_fail () {
  CROWD_FAILURES=$((CROWD_FAILURES + 1))
  echo "FAIL $CROWD_CASE: $1"
}

# crowd_give_up TEXT: ends the script; without a crowd, all processes should
# serve.
crowd_give_up () {
  crowd_fail "$1"
  tail -n 10 "$MESH_DIR"/*.log
  exit 1
}

# crowd_print_config VERSION: prints a configuration with the routes of service
# b: /b/ for ordinary requests and /upload/ for long bodies, which are served
# first, and those of the crowd: /crowd/ (idempotent), /crowd-once/ and
# /crowd-upload/ with slow answers, and /plain/ (idempotent).
crowd_print_config () {
  local columns='"name","hostname","path_prefix","route_type","timeout_s"'
  local routes
  columns="$columns,\"target_latency_s\",\"priority\",\"traffic_split\""
  columns="$columns,\"max_attempts\",\"service\""
  routes='["b","h","/b/","idempotent",3,1,0,null,2,"b"]'
  routes="$routes,[\"u\",\"h\",\"/upload/\",\"upload\",10,5,0,null,2,\"b\"]"
  routes="$routes,[\"c\",\"h\",\"/crowd/\",\"idempotent\",8,5,2,null,2,\"b\"]"
  routes="$routes,[\"co\",\"h\",\"/crowd-once/\",\"non_idempotent\",8,5,2,null"
  routes="$routes,2,\"b\"],[\"cu\",\"h\",\"/crowd-upload/\",\"upload\",8,5,2"
  routes="$routes,null,2,\"b\"]"
  routes="$routes,[\"p\",\"h\",\"/plain/\",\"idempotent\",8,5,2,null,2,\"b\"]"
  printf '{"version":"r%s","routes":{"columns":[%s],"rows":[%s]},' \
    "$1" "$columns" "$routes"
  printf '"services":{"columns":["name","health_path","max_connections",'
  printf '"protocol","tls"],"rows":[["b","/health",300,"h1",false]]},'
  printf '"limits":{"max_header_bytes":16384,"max_body_bytes":%s,' \
    "$CROWD_BODY_BYTES_MAX"
  printf '"header_timeout_s":3,"idle_timeout_s":15}}\n'
}

# crowd_send_heartbeats: sends heartbeats of the server until it is killed.
crowd_send_heartbeats () {
  local sequence
  for ((sequence = 1; ; sequence++)); do
    platform_send_heartbeat i-5 127.0.0.5 \
      "127.0.0.5:$PLATFORM_SERVER_PORT" b "$sequence" ready 1000
    sleep 0.5
  done
}

# crowd_request IP PATH SHARES [CURL FLAG...]: sends one request as a caller that
# retries it a few times, each time after the time of Retry-After or a moment.
# An attempt takes at most 1/SHARES of the time that is left.  Prints the last
# status and fails unless it is 200.
crowd_request () {
  local end=$((${EPOCHREALTIME/./} + CROWD_PATIENCE_S * 1000000)) left ms pause
  local attempt status=000 head="$MESH_DIR/head.$BASHPID"
  for attempt in 1 2 3 4 5; do
    left=$((end - ${EPOCHREALTIME/./}))
    [ "$left" -gt 100000 ] || break
    ms=$((left / $3 / 1000))
    status=$(curl -s -m "$((ms / 1000)).$(printf %03d $((ms % 1000)))" \
      -o /dev/null -D "$head" -w '%{http_code}' -H 'Host: h' \
      -H "X-Sycamorerudder-Request-Id: ordinary-$BASHPID-$RANDOM-$attempt" \
      -H "X-Sycamorerudder-Deadline-Ms: $ms" \
      "${@:4}" "http://$1:$PLATFORM_CALLERS_PORT$2")
    [ "$status" != 200 ] || break
    pause=$(sed -n 's/^retry-after: *\([0-9.]*\).*/\1/ip' "$head" 2>/dev/null)
    sleep "${pause:-0.2}"
  done
  echo "$status"
  [ "$status" = 200 ]
}

# crowd_node_is_ready NODE
crowd_node_is_ready () {
  platform_readiness_is "${CROWD_IP[$1]}" 200 \
    && [ "$(curl -s -m 2 -o /dev/null -w '%{http_code}' -H 'Host: h' \
      "http://${CROWD_IP[$1]}:$PLATFORM_CALLERS_PORT/b/ready")" = 200 ]
}

# crowd_start_node NODE
crowd_start_node () {
  platform_start_node "$1" "${CROWD_IP[$1]}" "$([ "$1" = n4 ] && echo a || echo b)"
}

# crowd_start_platform: starts all processes, and waits until requests are
# served.
crowd_start_platform () {
  local name
  CROWD_CASE=start
  # shellcheck disable=SC2034 # read by platform_write_settings
  PLATFORM_LIMITS="\"max_fds\": $CROWD_DESCRIPTORS, \"memory_mb\": $CROWD_MEMORY_MB"
  platform_reserve_ports 127.0.0.1 127.0.0.2 127.0.0.3
  head -c "$CROWD_UPLOAD_BYTES" /dev/zero >"$MESH_DIR/upload"
  for name in c1 c2 c3; do
    platform_start_replica "$name" "${CROWD_IP[$name]}" true
  done
  for name in $CROWD_NODES; do crowd_start_node "$name"; done
  platform_start_backend s5 127.0.0.5 i-5 --service-us 1000 --slots 16 \
    --connections 300 --late-path /crowd --late-ms 2000
  crowd_print_config 1 >"$MESH_DIR/r1"
  mesh_wait_until "$CROWD_START_S" platform_apply_config 127.0.0.1 0 "$MESH_DIR/r1" \
    || crowd_give_up "the configuration is not accepted"
  crowd_send_heartbeats >/dev/null 2>&1 &
  MESH_PID[heartbeats]=$!
  crowd_wait_until_ready
}

crowd_wait_until_ready () {
  local name
  for name in $CROWD_NODES; do
    mesh_wait_until "$CROWD_START_S" crowd_node_is_ready "$name" \
      || crowd_give_up "$name does not serve requests"
  done
}

# crowd_restart NAME...: replaces processes by new ones, whose peak of memory is
# that of the next case.
crowd_restart () {
  local name
  for name in "$@"; do
    mesh_kill "$name"
    case $name in
      c*) platform_start_replica "$name" "${CROWD_IP[$name]}" false ;;
      *) platform_start_process "$name" ;;
    esac
  done
  crowd_wait_until_ready
}

# crowd_sample: prints of each process its name, the number of its descriptors
# and the bytes that the kernel holds for it unread, those of connections that
# it has not accepted yet included; then "round".
crowd_sample () {
  local name pids= folders=()
  for name in $CROWD_PROCESSES; do
    pids="$pids ${MESH_PID[$name]} $name"
    folders+=("/proc/${MESH_PID[$name]}/fd")
  done
  find "${folders[@]}" -type l -printf '%h %l\n' 2>/dev/null \
    | awk -v pids="$pids" '
        function hex (text, i, value) {
          for (i = 1; i <= length (text); i++)
            value = value * 16 \
              + index ("123456789ABCDEF", substr (text, i, 1))
          return value
        }
        BEGIN {
          count = split (pids, word)
          for (i = 1; i < count; i += 2) names[word[i]] = word[i + 1]
        }
        FILENAME == "-" {
          split ($1, part, "/")
          descriptors[part[3]]++
          if (sub (/^socket:/, "", $2)) owner[substr ($2, 2, length ($2) - 2)] = part[3]
          next
        }
        $4 == "0A" { if ($10 in owner) listener[$2] = owner[$10]; next }
        $5 !~ /:00000000$/ { local[++rows] = $2; queue[rows] = $5; inode[rows] = $10 }
        END {
          for (i = 1; i <= rows; i++) {
            sub (/.*:/, "", queue[i])
            if (inode[i] in owner) bytes[owner[inode[i]]] += hex (queue[i])
            else if (inode[i] == 0 && local[i] in listener)
              bytes[listener[local[i]]] += hex (queue[i])
          }
          for (pid in names)
            print names[pid], descriptors[pid] + 0, bytes[pid] + 0
          print "round"
        }' - /proc/net/tcp
}

# crowd_sample_all: samples until it is killed.
crowd_sample_all () {
  while :; do
    crowd_sample
    sleep 0.1
  done
}

# crowd_has_rounds COUNT: whether so many rounds of samples are complete.
crowd_has_rounds () { [ "$(grep -c round "$MESH_DIR/samples")" -ge "$1" ]; }

# crowd_wait_until_settled: waits until the crowd neither sends nor receives, and
# was sampled since.
crowd_wait_until_settled () {
  local end=$((SECONDS + CROWD_SETTLE_S)) status last= same=0
  while [ "$SECONDS" -lt "$end" ] && [ "$same" -lt 10 ]; do
    sleep 0.1
    status=$(cat "$MESH_DIR/status" 2>/dev/null)
    same=$((same + 1))
    [ "$status" = "$last" ] || same=0
    last=$status
  done
  # shellcheck disable=SC2086 # drops the blanks at the end
  echo "$CROWD_CASE: crowd" $last
  mesh_wait_until 10 crowd_has_rounds \
    $(($(grep -c round "$MESH_DIR/samples") + 2)) \
    || crowd_fail "the processes are not sampled"
}

# crowd_peak NAME: prints the most bytes of memory that a process has used.
crowd_peak () {
  awk '/^VmHWM:/ { print $2 * 1024 }' "/proc/${MESH_PID[$1]}/status"
}

# crowd_most NAME COLUMN: prints the largest number in a column of the samples
# of a process: 2 for descriptors, 3 for bytes unread in the kernel.
crowd_most () {
  awk -v name="$1" -v column="$2" '
    $1 == name && $column > most { most = $column }
    END { print most + 0 }' "$MESH_DIR/samples"
}

# crowd_check_limits: checks that each process lives and what it has used.
crowd_check_limits () {
  local name peak kernel count
  local limit=$((CROWD_MEMORY_MB * 1024 * 1024))
  for name in $CROWD_PROCESSES; do
    if ! mesh_is_running "$name"; then
      crowd_fail "$name has ended"
      tail -n 5 "$MESH_DIR/$name.log"
      continue
    fi
    peak=$(crowd_peak "$name")
    count=$(crowd_most "$name" 2)
    kernel=$(crowd_most "$name" 3)
    echo "$CROWD_CASE: $name peak $peak + unread in the kernel $kernel" \
      "(limit $limit), descriptors $count (limit $CROWD_DESCRIPTORS)"
    [ $((peak + kernel)) -le "$limit" ] \
      || crowd_fail "$name holds $((peak + kernel)) bytes"
    [ "$count" -gt 0 ] || crowd_fail "$name was not observed"
    [ "$count" -le "$CROWD_DESCRIPTORS" ] \
      || crowd_fail "$name has $count descriptors"
  done
}

# crowd_check_served WHEN: checks that ordinary requests are answered.  With
# CROWD_CHANGES, a change of the configuration is also accepted.
crowd_check_served () {
  local name status
  if [ -n "${CROWD_CHANGES:-}" ]; then
    crowd_print_config $((CROWD_VERSION + 1)) >"$MESH_DIR/change"
    mesh_wait_until "$CROWD_START_S" platform_apply_config 127.0.0.3 \
      "r$CROWD_VERSION" "$MESH_DIR/change" \
      || crowd_fail "no change of the configuration is accepted $1"
    CROWD_VERSION=$((CROWD_VERSION + 1))
  fi
  for name in $CROWD_NODES; do
    status=$(crowd_request "${CROWD_IP[$name]}" "/b/$1" 3) \
      || crowd_fail "ordinary request at $name $1: $status"
  done
}

# crowd_check_upload WHEN: checks that a single upload is served.
crowd_check_upload () {
  local status
  status=$(crowd_request 127.0.0.4 /upload/x 1 -H 'Expect:' -X POST \
    --data-binary "@$MESH_DIR/upload") || crowd_fail "upload $1: $status"
}

# crowd_signal SIGNAL: sends it to the processes in CROWD_SUSPENDED.
crowd_signal () {
  local name
  for name in ${CROWD_SUSPENDED:-}; do mesh_signal "$name" "$1"; done
}

# crowd_run CASE ADDRESS CROWD FLAG...: lets a crowd loose on ADDRESS, and
# checks all processes and requests meanwhile and afterwards.  The processes in
# CROWD_SUSPENDED are suspended while the crowd comes.
crowd_run () {
  CROWD_CASE=$1
  : >"$MESH_DIR/samples"
  crowd_sample_all >"$MESH_DIR/samples" &
  MESH_PID[sampler]=$!
  crowd_check_upload before
  crowd_signal STOP
  mesh_start_process crowd "$MESH_BIN/tests/crowd" --to "$2" \
    --id-field X-Sycamorerudder-Request-Id --status "$MESH_DIR/status" "${@:3}"
  crowd_wait_until_settled
  if [ -n "${CROWD_SUSPENDED:-}" ]; then
    crowd_signal CONT
    crowd_wait_until_settled
    crowd_wait_until_ready
  fi
  crowd_check_served during
  mesh_is_running crowd || crowd_fail "the crowd has ended"
  mesh_kill crowd
  crowd_check_served afterwards
  crowd_check_upload afterwards
  mesh_kill sampler
  crowd_check_limits
}

# crowd_finish NAME: ends the script.
crowd_finish () {
  [ "$CROWD_FAILURES" -eq 0 ] || exit 1
  echo "$1: ok"
  exit 0
}
