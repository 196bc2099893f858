# Functions that run a mesh under the users' platform on loopback: each machine
# has an address of its own, and the ports are the same on all.
# Sourced after mesh.sh.

# plat_ports SEED...: draws the ports; the control replicas are at these
# addresses.
plat_ports () {
  local name ip
  for name in FIRST LAST HEALTH CALLERS CONTROL SERVER; do
    mesh_port
    declare -g "PLAT_$name=$REPLY"
  done
  PLAT_SEEDS=
  for ip in "$@"; do
    PLAT_SEEDS="$PLAT_SEEDS${PLAT_SEEDS:+,}\"$ip:$PLAT_CONTROL\""
  done
}

# plat_settings NAME IP SERVES BOOTSTRAP LISTEN SERVICE: writes the platform's
# file.
plat_settings () {
  cat >"$MESH_DIR/$1.json" <<JSON
{"node_name": "$1", "zone": "z$2", "ip": "$2",
 "port_range": [$PLAT_FIRST, $PLAT_LAST], "seeds": [$PLAT_SEEDS],
 "bootstrap": $4, "serves": ["$3"], "service": "$6",
 "app_addr": "$2:$PLAT_SERVER", "data_dir": "$MESH_DIR/$1.data",
 "heartbeat_s": 1.5, "bounds": ["grace_s=6"], "listen": {$5},
 "limits": {"max_fds": 1000}, "fault_tolerance": {"machines": 1}}
JSON
}

# plat_start NAME [FLAG...]: starts a process whose file is written.
plat_start () {
  SYCAMORERUDDER_NODE_FILE="$MESH_DIR/$1.json" mesh_start "$1" \
    "$MESH_BIN/sycamorerudder-node" --platform "${@:2}"
}

# plat_replica NAME IP BOOTSTRAP [FLAG...]: starts a control replica.
plat_replica () {
  plat_settings "$1" "$2" control_plane "$3" \
    "\"control\": \"$2:$PLAT_CONTROL\"" a
  plat_start "$1" "${@:4}"
}

# plat_node NAME IP SERVICE [FLAG...]: starts a node beside a server.
plat_node () {
  plat_settings "$1" "$2" sidecar true \
    "\"outbound\": \"$2:$PLAT_CALLERS\", \"inbound\": \"$2:$PLAT_LAST\",
     \"ready\": \"$2:$PLAT_HEALTH\", \"control\": \"$2:$PLAT_CONTROL\"" "$3"
  plat_start "$1" "${@:4}"
}

# plat_fake NAME IP ID [FLAG...]: a backend server beside the node at IP; ID is
# that of this start.
plat_fake () {
  mesh_start "$1" "$MESH_BIN/rudder-fake" --listen "$2:$PLAT_SERVER" \
    --journal "$MESH_DIR/$1.journal" \
    --id-field X-Sycamorerudder-Request-Id \
    --answer-field "X-Sycamorerudder-Response-Seal: s" \
    --answer-field "X-Sycamorerudder-Instance-Id: $3" "${@:4}"
}

# plat_beat ID IP ADDRESS SERVICE SEQUENCE [STATE [BORN]]: one liveness report
# of a server to the node at IP.
plat_beat () {
  curl -sf -m 1 -o /dev/null -X POST -d "{\"service\": \"$4\",
    \"address\": \"$3\", \"zone\": \"z$2\", \"version\": \"1\", \"slots\": 16,
    \"state\": \"${6:-ready}\", \"cold_remaining_s\": 0, \"sequence\": $5${7:+, \"born\": $7}}" \
    "http://$2:$PLAT_CONTROL/-/Instances.Heartbeat/$1"
}

# plat_status IP PATH: what the node answers to a caller.
plat_status () {
  curl -s -m 2 -o /dev/null -w '%{http_code}' -H 'Host: h' \
    "http://$1:$PLAT_CALLERS$2"
}

# plat_asks IP PATH STATUS: whether it answers that.
plat_asks () {
  [ "$(plat_status "$1" "$2")" = "$3" ]
}

# plat_ready IP STATUS: whether the node answers that about its readiness.
plat_ready () {
  [ "$(curl -s -m 2 -o /dev/null -w '%{http_code}' \
    "http://$1:$PLAT_HEALTH/-/readiness")" = "$2" ]
}

# plat_put IP BASE FILE: sends a configuration; prints the status.
plat_put () {
  curl -s -m 2 -o /dev/null -w '%{http_code}' -X POST --data-binary "@$3" \
    -H "X-Sycamorerudder-Base-Version: $2" \
    "http://$1:$PLAT_CONTROL/-/Config.Replace"
}

# plat_accepted IP BASE FILE: whether it is taken.
plat_accepted () { [ "$(plat_put "$1" "$2" "$3")" = 200 ]; }

# plat_get IP: the newest configuration.
plat_get () {
  curl -sf -m 2 "http://$1:$PLAT_CONTROL/-/Config.Get"
}

# plat_document VERSION [PREFIX [SERVICE...]]: a configuration.  The first
# route is idempotent, the second, at PREFIX, too.  Each further service has an
# idempotent route at /SERVICE/ and one at /SERVICE-once/ that is not; all
# paths of the host SERVICE go to it, those at /front-once/ at most once.
plat_document () {
  local columns='"name","hostname","path_prefix","route_type","timeout_s"'
  local routes services service=a
  columns="$columns,\"target_latency_s\",\"priority\",\"traffic_split\""
  columns="$columns,\"max_attempts\",\"service\""
  routes='["r1","h","/one/","idempotent",1,1,0,null,2,"a"]'
  routes="$routes,[\"r2\",\"h\",\"${2:-/two/}\",\"idempotent\",1,1,0,null,2,\"a\"]"
  services='["a","/health",10,"h1",false]'
  for service in "${@:3}"; do
    routes="$routes,[\"$service\",\"h\",\"/$service/\",\"idempotent\",3,1,0"
    routes="$routes,null,2,\"$service\"],[\"$service-once\",\"h\""
    routes="$routes,\"/$service-once/\",\"non_idempotent\",3,1,0,null,2"
    routes="$routes,\"$service\"],[\"$service-all\",\"$service\",\"/\""
    routes="$routes,\"idempotent\",3,1,0,null,2,\"$service\"]"
    routes="$routes,[\"$service-all-once\",\"$service\",\"/front-once/\""
    routes="$routes,\"non_idempotent\",3,1,0,null,2,\"$service\"]"
    services="$services,[\"$service\",\"/health\",100,\"h1\",false]"
  done
  printf '{"version":"r%s","routes":{"columns":[%s],"rows":[%s]},' \
    "$1" "$columns" "$routes"
  printf '"services":{"columns":["name","health_path","max_connections",'
  printf '"protocol","tls"],"rows":[%s]},' "$services"
  printf '"limits":{"max_header_bytes":16384,"max_body_bytes":1000000,'
  printf '"header_timeout_s":3,"idle_timeout_s":15}}\n'
}
