# Runs a mesh under the users' platform on loopback: each instance has its own
# IP address, and all use the same ports.  Sourced after mesh.sh.

# platform_reserve_ports IP...: reserves the ports of all instances and sets
# PLATFORM_SEEDS to the control replicas at these addresses.  Ports of a node:
# FIRST begins the port range (peer messages, then metrics), LAST ends it and is
# the inbound port, HEALTH is for readiness probes, CALLERS the outbound port,
# CONTROL for calls of the platform.  SERVER is the port of backend servers.
platform_reserve_ports () {
  local name ip
  for name in FIRST LAST HEALTH CALLERS CONTROL SERVER; do
    mesh_reserve_port
    declare -g "PLATFORM_${name}_PORT=$REPLY"
  done
  PLATFORM_SEEDS=
  for ip in "$@"; do
    PLATFORM_SEEDS=$PLATFORM_SEEDS${PLATFORM_SEEDS:+,}
    PLATFORM_SEEDS="$PLATFORM_SEEDS\"$ip:$PLATFORM_CONTROL_PORT\""
  done
}

# platform_write_settings NAME IP SERVES BOOTSTRAP LISTEN SERVICE: writes the
# settings file of the platform, NAME.json.  LISTEN holds the members of
# "listen".  PLATFORM_LIMITS may replace the members of "limits",
# PLATFORM_ZONE the zone, PLATFORM_ZONES and PLATFORM_TOLERANCE the members of
# "zones" and "fault_tolerance".
platform_write_settings () {
  cat >"$MESH_DIR/$1.json" <<JSON
{"node_name": "$1", "zone": "${PLATFORM_ZONE:-z$2}", "ip": "$2",
 "zones": {${PLATFORM_ZONES:-}},
 "port_range": [$PLATFORM_FIRST_PORT, $PLATFORM_LAST_PORT],
 "seeds": [$PLATFORM_SEEDS],
 "bootstrap": $4, "serves": ["$3"], "service": "$6",
 "app_addr": "$2:$PLATFORM_SERVER_PORT", "data_dir": "$MESH_DIR/$1.data",
 "heartbeat_s": 1.5, "bounds": ["grace_s=6", "catch_up_s=4"], "listen": {$5},
 "limits": {${PLATFORM_LIMITS:-"\"max_fds\": 1000"}},
 "fault_tolerance": {${PLATFORM_TOLERANCE:-"\"machines\": 1"}}}
JSON
}

# platform_start_process NAME [FLAG...]: starts a node with its existing
# settings file.
platform_start_process () {
  SYCAMORERUDDER_NODE_FILE="$MESH_DIR/$1.json" mesh_start_process "$1" \
    "$MESH_BIN/sycamorerudder-node" --platform "${@:2}"
}

# platform_start_replica NAME IP BOOTSTRAP [FLAG...]: starts a control replica.
# BOOTSTRAP (true or false) says whether it may create the group.
platform_start_replica () {
  platform_write_settings "$1" "$2" control_plane "$3" \
    "\"control\": \"$2:$PLATFORM_CONTROL_PORT\"" a
  platform_start_process "$1" "${@:4}"
}

# platform_start_node NAME IP SERVICE [FLAG...]: starts the sidecar node of a
# backend server of SERVICE.
platform_start_node () {
  platform_write_settings "$1" "$2" sidecar true \
    "\"outbound\": \"$2:$PLATFORM_CALLERS_PORT\",
     \"inbound\": \"$2:$PLATFORM_LAST_PORT\",
     \"ready\": \"$2:$PLATFORM_HEALTH_PORT\",
     \"control\": \"$2:$PLATFORM_CONTROL_PORT\"" "$3"
  platform_start_process "$1" "${@:4}"
}

# platform_start_backend NAME IP ID [FLAG...]: starts a fake backend server
# beside the node at IP.  ID is its instance id, a new one for each start.
platform_start_backend () {
  mesh_start_process "$1" "$MESH_BIN/rudder-fake" \
    --listen "$2:$PLATFORM_SERVER_PORT" \
    --journal "$MESH_DIR/$1.journal" \
    --id-field X-Sycamorerudder-Request-Id \
    --answer-field "X-Sycamorerudder-Response-Seal: s" \
    --answer-field "X-Sycamorerudder-Instance-Id: $3" "${@:4}"
}

# platform_send_heartbeat ID IP ADDRESS SERVICE SEQUENCE [STATE [BORN]]: sends
# one heartbeat of a backend server to the node at IP.  BORN is its start time
# in ms.
platform_send_heartbeat () {
  curl -sf -m 1 -o /dev/null -X POST -d "{\"service\": \"$4\",
    \"address\": \"$3\", \"zone\": \"z$2\", \"version\": \"1\", \"slots\": 16,
    \"state\": \"${6:-ready}\", \"cold_remaining_s\": 0,
    \"sequence\": $5${7:+, \"born\": $7}}" \
    "http://$2:$PLATFORM_CONTROL_PORT/-/Instances.Heartbeat/$1"
}

# platform_get_status IP PATH: prints the HTTP status that a caller gets.
platform_get_status () {
  curl -s -m 2 -o /dev/null -w '%{http_code}' -H 'Host: h' \
    "http://$1:$PLATFORM_CALLERS_PORT$2"
}

# platform_status_is IP PATH STATUS: whether a caller gets this HTTP status.
platform_status_is () {
  [ "$(platform_get_status "$1" "$2")" = "$3" ]
}

# platform_readiness_is IP STATUS: whether the readiness probe gets this HTTP
# status.
platform_readiness_is () {
  [ "$(curl -s -m 2 -o /dev/null -w '%{http_code}' \
    "http://$1:$PLATFORM_HEALTH_PORT/-/readiness")" = "$2" ]
}

# platform_replace_config IP BASE FILE: sends a configuration that replaces
# version BASE; prints the HTTP status.
platform_replace_config () {
  curl -s -m 2 -o /dev/null -w '%{http_code}' -X POST --data-binary "@$3" \
    -H "X-Sycamorerudder-Base-Version: $2" \
    "http://$1:$PLATFORM_CONTROL_PORT/-/Config.Replace"
}

# platform_apply_config IP BASE FILE: as platform_replace_config, but prints
# nothing and fails unless the configuration is accepted.
platform_apply_config () {
  [ "$(platform_replace_config "$1" "$2" "$3")" = 200 ]
}

# platform_get_config IP: prints the newest configuration.
platform_get_config () {
  curl -sf -m 2 "http://$1:$PLATFORM_CONTROL_PORT/-/Config.Get"
}

# platform_print_config VERSION [PREFIX [SERVICE...]]: prints a configuration.
# Service "a" has two idempotent routes, at /one/ and at PREFIX.  Each SERVICE
# has an idempotent route at /SERVICE/ and a non-idempotent one at
# /SERVICE-once/.  All paths of the host SERVICE go to it; /front-once/ there
# is non-idempotent.
platform_print_config () {
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
