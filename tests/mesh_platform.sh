#!/bin/bash
# Guards against changes of the configuration that are lost, accepted twice or
# not in force, with real processes under the platform's settings and calls:
# races, resends, a killed leader, a lost disk, a kill of everything, and a node
# that starts and stops.
set -u
cd "$(dirname "$0")/.." || exit 1
. scripts/mesh.sh
mesh_begin

for name in first last health callers control; do
  mesh_port
  declare "$name=$REPLY"
done
seeds="\"127.0.0.1:$control\",\"127.0.0.2:$control\",\"127.0.0.3:$control\""

fail () {
  echo "FAIL: $1"
  tail -n 15 "$MESH_DIR"/*.log
  exit 1
}

# settings NAME IP SERVES BOOTSTRAP LISTEN: writes the platform's file.
settings () {
  cat >"$MESH_DIR/$1.json" <<JSON
{"node_name": "$1", "zone": "z$2", "ip": "$2", "port_range": [$first, $last],
 "seeds": [$seeds], "bootstrap": $4, "serves": ["$3"], "service": "a",
 "app_addr": "$2:1", "data_dir": "$MESH_DIR/$1.data", "heartbeat_s": 1.5,
 "bounds": ["grace_s=6"], "listen": {$5}, "limits": {"max_fds": 1000},
 "fault_tolerance": {"machines": 1}}
JSON
}

start () {
  SYCAMORERUDDER_NODE_FILE="$MESH_DIR/$1.json" mesh_start "$1" \
    "$MESH_BIN/sycamorerudder-node" --platform
}

# control NAME IP BOOTSTRAP: a control replica.
replica () {
  settings "$1" "$2" control_plane "$3" "\"control\": \"$2:$control\""
  start "$1"
}

# document VERSION PREFIX: a configuration whose second route has PREFIX.
document () {
  cat <<JSON
{"version":"r$1","routes":{"columns":["name","hostname","path_prefix","route_type","timeout_s","target_latency_s","priority","traffic_split","max_attempts","service"],"rows":[["r1","h","/one/","idempotent",1,1,0,null,2,"a"],["r2","h","$2","idempotent",1,1,0,null,2,"a"]]},"services":{"columns":["name","health_path","max_connections","protocol","tls"],"rows":[["a","/health",10,"h1",false]]},"limits":{"max_header_bytes":16384,"max_body_bytes":1000000,"header_timeout_s":3,"idle_timeout_s":15}}
JSON
}

# put IP BASE FILE: prints the status.
put () {
  curl -s -m 2 -o /dev/null -w '%{http_code}' -X POST --data-binary "@$3" \
    -H "X-Sycamorerudder-Base-Version: $2" "http://$1:$control/-/Config.Replace"
}

accepted () { [ "$(put "$1" "$2" "$3")" = 200 ]; }

# in_force IP FILE: whether a read gives these bytes back.
in_force () {
  curl -sf -m 2 "http://$1:$control/-/Config.Get" | cmp -s - "$2"
}

# asks PATH STATUS: what the node answers to a caller.
asks () {
  [ "$(curl -s -m 2 -o /dev/null -w '%{http_code}' -H 'Host: h' \
    "http://127.0.0.4:$callers$1")" = "$2" ]
}

ready () {
  [ "$(curl -s -m 2 -o /dev/null -w '%{http_code}' \
    "http://127.0.0.4:$health/-/readiness")" = "$1" ]
}

for i in 1 2 3; do replica "c$i" "127.0.0.$i" true; done
settings n 127.0.0.4 sidecar true \
  "\"outbound\": \"127.0.0.4:$callers\", \"inbound\": \"127.0.0.4:$last\",
   \"ready\": \"127.0.0.4:$health\", \"control\": \"127.0.0.4:$control\""
start n
mesh_until 5 ready 503 || fail "a node without a configuration is ready"
asks /one/x 503 || fail "a node without a configuration does not answer 503"

document 2 /two/ >"$MESH_DIR/r2"
mesh_until 10 accepted 127.0.0.2 0 "$MESH_DIR/r2" || fail "first change"
for i in 1 2 3; do
  mesh_until 3 in_force "127.0.0.$i" "$MESH_DIR/r2" || fail "read at c$i"
done
mesh_until 2 ready 200 || fail "node is not ready"
asks /two/x 503 || fail "a route without a server"
asks /none/x 404 || fail "no route"

document 4 /four/ >"$MESH_DIR/r4"
document 4 /other/ >"$MESH_DIR/r4b"
put 127.0.0.1 r2 "$MESH_DIR/r4" >"$MESH_DIR/a" &
put 127.0.0.3 r2 "$MESH_DIR/r4b" >"$MESH_DIR/b" &
wait %+ %-
both=$(cat "$MESH_DIR/a")$(cat "$MESH_DIR/b")
case $both in
  200412) won=r4 lost=r4b path=/four/ ;;
  412200) won=r4b lost=r4 path=/other/ ;;
  *) fail "two changes on one version gave $both" ;;
esac
mesh_until 2 asks "${path}x" 503 || fail "the change is not in force"
[ "$(put 127.0.0.2 r2 "$MESH_DIR/$won")" = 200 ] || fail "a resend is refused"
[ "$(put 127.0.0.2 r2 "$MESH_DIR/$lost")" = 412 ] || fail "the loser is taken"
document 3 /three/ >"$MESH_DIR/r3"
[ "$(put 127.0.0.2 r4 "$MESH_DIR/r3")" = 412 ] || fail "a lower version"
head -c 300 "$MESH_DIR/r4" >"$MESH_DIR/cut"
[ "$(put 127.0.0.2 r4 "$MESH_DIR/cut")" = 400 ] || fail "half a change"

mesh_kill c1
rm -rf "$MESH_DIR/c1.data"
document 9 /nine/ >"$MESH_DIR/r9"
mesh_until 6 accepted 127.0.0.2 r4 "$MESH_DIR/r9" || fail "change without c1"
accepted 127.0.0.3 r2 "$MESH_DIR/$won" || fail "a resend after a loss"
replica c1 127.0.0.1 false
mesh_until 8 in_force 127.0.0.1 "$MESH_DIR/r9" || fail "c1 with an empty disk"

for i in 1 2 3; do mesh_kill "c$i"; done
ready 200 || fail "the node needs the control replicas to be ready"
for i in 1 2 3; do replica "c$i" "127.0.0.$i" false; done
for i in 1 2 3; do
  mesh_until 8 in_force "127.0.0.$i" "$MESH_DIR/r9" || fail "lost at c$i"
done
mesh_kill n
start n
mesh_until 8 ready 200 || fail "a node that starts is not ready"
asks /nine/x 503 || fail "a node that starts has another version"
asks "${path}x" 404 || fail "a route that is gone"
mesh_signal n TERM
mesh_until 2 ready 503 || fail "a stopping node is ready"
mesh_stop n 6 || fail "stop of the node"
for i in 1 2 3; do mesh_stop "c$i" 6 || fail "stop of c$i"; done
echo "platform: changes, losses and restarts hold"
