# Runs a small deployment on loopback addresses: three control replicas (.1 to
# .3) and nodes beside backend servers (.4 and up), all with the same ports.
# Sourced by the run.sh of a case, in its folder.  Processes are ended by the
# ids that were recorded at their start.

LAB_ROOT=$(cd ../.. && pwd)
LAB=$LAB_ROOT/target/review-3/lab
LAB_NODE=$LAB_ROOT/target/sycamorerudder-node
LAB_RECORD=$PWD/record.txt
LAB_TOLERANCE='{"machines":1,"zones":0,"regions":0}'
LAB_MEMORY_MB=256
LAB_IDLE_S=15
TROUBLE=${TROUBLE:-1}
declare -A LAB_PID

# lab_setup: checks the programs, makes the temporary folder LAB_DIR and picks
# a loopback network and ports that are free.
lab_setup () {
  : >"$LAB_RECORD"
  { [ -x "$LAB" ] && [ -x "$LAB_NODE" ]; } || lab_exit 2 "programs are not built"
  LAB_DIR=$(mktemp -d "${TMPDIR:-/tmp}/lab-3.XXXXXX") || exit 2
  trap lab_cleanup EXIT
  trap 'exit 2' INT TERM
  LAB_NET=127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1))
  while :; do
    LAB_BASE=$((21000 + RANDOM % 9000))
    "$LAB" free "$LAB_NET.1" "$LAB_BASE" && "$LAB" free "$LAB_NET.4" "$LAB_BASE" \
      && "$LAB" free "$LAB_NET.4" $((LAB_BASE + 18)) && break
  done
  LAB_CALLERS=$((LAB_BASE + 16)) LAB_READY=$((LAB_BASE + 17))
  LAB_CONTROL=$((LAB_BASE + 18)) LAB_SERVER=$((LAB_BASE + 19))
}

lab_cleanup () {
  local name
  for name in "${!LAB_PID[@]}"; do
    kill -KILL "${LAB_PID[$name]}" 2>/dev/null
  done
  { wait; } 2>/dev/null
  rm -rf "$LAB_DIR"
}

# lab_note TEXT: writes a line to the record and to standard output.
lab_note () {
  echo "$(date +%s%3N) $1" | tee -a "$LAB_RECORD"
}

# lab_exit STATUS TEXT
lab_exit () {
  lab_note "$2"
  exit "$1"
}

# lab_start NAME COMMAND...
lab_start () {
  local name=$1
  shift
  "$@" >>"$LAB_DIR/$name.log" 2>&1 &
  LAB_PID[$name]=$!
}

# lab_kill NAME: SIGKILL; returns when the process has ended.
lab_kill () {
  kill -KILL "${LAB_PID[$1]}" 2>/dev/null
  { wait "${LAB_PID[$1]}"; } 2>/dev/null
  unset "LAB_PID[$1]"
}

# lab_start_process NAME IP CLASS ROLE SERVES BOOTSTRAP LISTEN SERVICE DISK:
# writes the settings file as deploy/settings.json gives it, and starts the
# process with the command of the deploy file.
lab_start_process () {
  local seeds="\"$LAB_NET.1:$LAB_CONTROL\",\"$LAB_NET.2:$LAB_CONTROL\""
  local bounds='"seed_lag_s=3","addr_reuse_s=2","contact_s=3","ack_s=4"'
  bounds="$bounds,\"catch_up_s=4\",\"drain_s=2\",\"grace_s=6\""
  bounds="$bounds,\"loss_slack_s=0.2\",\"config_apply_s=2\""
  bounds="$bounds,\"rollback_slack_s=0.25\",\"max_skew_s=5\""
  bounds="$bounds,\"retry_budget_ratio=0.2\",\"budget_window_s=10\""
  bounds="$bounds,\"retry_budget_slack=50\",\"recovery_s=15\""
  seeds="$seeds,\"$LAB_NET.3:$LAB_CONTROL\""
  mkdir -p "$LAB_DIR/$1.data"
  cat >"$LAB_DIR/$1.json" <<JSON
{"node_name":"$1","role":"$4","machine_class":"$3","serves":["$5"],
 "ip":"$2","zone":"z${2##*.}","region":"r","loss_counts":$9,
 "port_range":[$LAB_BASE,$((LAB_BASE + 15))],"seeds":[$seeds],
 "bootstrap":$6,"discovery":"local","entry_mode":"local","heartbeat_s":1.5,
 "contracts":["base","drain","config","cost","retry","recover","pressure"],
 "bounds":[$bounds],"data_dir":"$LAB_DIR/$1.data",
 "app_addr":"$2:$LAB_SERVER","service":"$8","listen":{$7},
 "limits":{"cpu_share":0.4,"cores":1,"memory_mb":$LAB_MEMORY_MB,
  "max_fds":4100,"link_mbps":1000.0,"disk_mb":256},
 "fault_tolerance":$LAB_TOLERANCE}
JSON
  cd "$LAB_ROOT" || exit 2
  SYCAMORERUDDER_NODE_FILE=$LAB_DIR/$1.json lab_start "$1" \
    target/sycamorerudder-node --platform
  cd - >/dev/null || exit 2
}

# lab_start_replica NUMBER BOOTSTRAP
lab_start_replica () {
  lab_start_process "c$1" "$LAB_NET.$1" core control control_plane "$2" \
    "\"control\":\"$LAB_NET.$1:$LAB_CONTROL\"" "" true
}

# lab_start_node NUMBER SERVICE
lab_start_node () {
  local ip=$LAB_NET.$1
  lab_start_process "n$1" "$ip" sidecar node sidecar true \
    "\"outbound\":\"$ip:$LAB_CALLERS\",\"inbound\":\"$ip:$((LAB_BASE + 15))\",
     \"ready\":\"$ip:$LAB_READY\",\"control\":\"$ip:$LAB_CONTROL\"" "$2" false
}

# lab_start_server NUMBER SERVICE SLOTS WORK_MS BYTES CUT_PER_1000
lab_start_server () {
  lab_start "s$1" "$LAB" server "$LAB_NET.$1" "$LAB_SERVER" "$LAB_CONTROL" \
    "$2" "i-$1" "$3" "$4" "$5" "$6" "$LAB_RECORD"
}

# lab_wait SECONDS COMMAND...: repeats COMMAND until it succeeds.
lab_wait () {
  local deadline=$((SECONDS + $1))
  shift
  until "$@"; do
    [ "$SECONDS" -lt "$deadline" ] || return 1
    sleep 0.1
  done
}

# lab_is_ready NUMBER: whether the node answers the readiness check with 200.
lab_is_ready () {
  [ "$("$LAB" call GET "$LAB_NET.$1" "$LAB_READY" /-/readiness | head -n 1)" \
    = 200 ]
}

# lab_replace NUMBER BASE FILE: sends a configuration; prints the status.
lab_replace () {
  "$LAB" call POST "$LAB_NET.$1" "$LAB_CONTROL" /-/Config.Replace \
    -H "X-Sycamorerudder-Base-Version: $2" \
    -H "Content-Type: application/json" -d "$3" | head -n 1
}

lab_is_replaced () {
  [ "$(lab_replace "$@")" = 200 ]
}

# lab_read NUMBER: reads the configuration; prints the status, then the
# version, "-" without one.
lab_read () {
  "$LAB" call GET "$LAB_NET.$1" "$LAB_CONTROL" /-/Config.Get \
    | { read -r status; tr -d '\n' \
        | sed -n 's/.*"version": *"\(r[0-9]*\)".*/\1/p' \
        | { read -r version; echo "$status ${version:--}"; }; }
}

# lab_read_is NUMBER VERSION
lab_read_is () {
  [ "$(lab_read "$1")" = "200 $2" ]
}

# lab_print_config VERSION [ROUTE...]: prints a configuration with services
# "shop" and "stock" and the rows ROUTE, each with a comma before it, after the
# routes /stock/, /quick/ and /files/.
lab_print_config () {
  local version=$1
  shift
  cat <<JSON
{"version":"$version","routes":{"columns":["name","hostname","path_prefix",
"route_type","timeout_s","target_latency_s","priority","traffic_split",
"max_attempts","service"],"rows":[
["r-stock","shop.example","/stock/","idempotent",6,2,1,null,2,"stock"],
["r-quick","shop.example","/quick/","idempotent",4,2,1,null,2,"stock"],
["r-files","shop.example","/files/","idempotent",12,2,1,null,2,"stock"]$*]},
"services":{"columns":["name","health_path","max_connections","protocol",
"tls"],"rows":[["shop","/health",316,"h1",false],
["stock","/health",316,"h1",false]]},
"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,
"header_timeout_s":3,"idle_timeout_s":$LAB_IDLE_S}}
JSON
}

# lab_start_core: starts the control replicas and sends configuration r1.
lab_start_core () {
  local i
  for i in 1 2 3; do lab_start_replica "$i" true; done
  lab_print_config r1 >"$LAB_DIR/r1"
  lab_wait 15 lab_is_replaced 1 0 "$LAB_DIR/r1" \
    || lab_exit 2 "the first configuration is not accepted"
  lab_note "operator r1 acknowledged"
}
