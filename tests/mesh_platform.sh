#!/bin/bash
# Configuration changes under the platform's settings and calls, with real
# processes.  Guards against changes that are lost, accepted twice or not in
# force: races, resends, a killed replica (also the leader) with a lost disk, a
# kill of all control replicas, and a node that is started, killed and stopped.
set -u
cd "$(dirname "$0")/.." || exit 1
. scripts/mesh.sh
. scripts/mesh_platform.sh
mesh_setup
platform_reserve_ports 127.0.0.1 127.0.0.2 127.0.0.3

# fail TEXT: prints TEXT and the ends of the logs, and exits.
fail () {
  echo "FAIL: $1"
  tail -n 15 "$MESH_DIR"/*.log
  exit 1
}

# config_is IP FILE: whether a read returns exactly the bytes of FILE.
config_is () { platform_get_config "$1" | cmp -s - "$2"; }
# route_status_is PATH STATUS
route_status_is () { platform_status_is 127.0.0.4 "$1" "$2"; }
# node_readiness_is STATUS
node_readiness_is () { platform_readiness_is 127.0.0.4 "$1"; }

for i in 1 2 3; do platform_start_replica "c$i" "127.0.0.$i" true; done
platform_start_node n 127.0.0.4 a
mesh_wait_until 5 node_readiness_is 503 \
  || fail "a node without a configuration is ready"
route_status_is /one/x 503 \
  || fail "a node without a configuration does not return 503"

platform_print_config 2 /two/ >"$MESH_DIR/r2"
mesh_wait_until 10 platform_apply_config 127.0.0.2 0 "$MESH_DIR/r2" \
  || fail "the first change is not accepted"
for i in 1 2 3; do
  mesh_wait_until 3 config_is "127.0.0.$i" "$MESH_DIR/r2" \
    || fail "c$i does not return the first change"
done
mesh_wait_until 2 node_readiness_is 200 || fail "the node is not ready"
route_status_is /two/x 503 \
  || fail "a route without a server does not return 503"
route_status_is /none/x 404 \
  || fail "a path without a route does not return 404"

platform_print_config 4 /four/ >"$MESH_DIR/r4"
platform_print_config 4 /other/ >"$MESH_DIR/r4b"
platform_replace_config 127.0.0.1 r2 "$MESH_DIR/r4" >"$MESH_DIR/a" &
platform_replace_config 127.0.0.3 r2 "$MESH_DIR/r4b" >"$MESH_DIR/b" &
wait %+ %-
statuses=$(cat "$MESH_DIR/a")$(cat "$MESH_DIR/b")
case $statuses in
  200412) accepted=r4 refused=r4b path=/four/ ;;
  412200) accepted=r4b refused=r4 path=/other/ ;;
  *) fail "two changes on one version returned $statuses" ;;
esac
mesh_wait_until 2 route_status_is "${path}x" 503 \
  || fail "the change is not in force"
[ "$(platform_replace_config 127.0.0.2 r2 "$MESH_DIR/$accepted")" = 200 ] \
  || fail "a resend of the accepted change is refused"
[ "$(platform_replace_config 127.0.0.2 r2 "$MESH_DIR/$refused")" = 412 ] \
  || fail "a resend of the refused change is accepted"
platform_print_config 3 /three/ >"$MESH_DIR/r3"
[ "$(platform_replace_config 127.0.0.2 r4 "$MESH_DIR/r3")" = 412 ] \
  || fail "a lower version is accepted"
head -c 300 "$MESH_DIR/r4" >"$MESH_DIR/truncated"
[ "$(platform_replace_config 127.0.0.2 r4 "$MESH_DIR/truncated")" = 400 ] \
  || fail "a truncated document is accepted"

mesh_kill c1
rm -rf "$MESH_DIR/c1.data"
platform_print_config 9 /nine/ >"$MESH_DIR/r9"
mesh_wait_until 6 platform_apply_config 127.0.0.2 r4 "$MESH_DIR/r9" \
  || fail "no change is accepted without c1"
platform_apply_config 127.0.0.3 r2 "$MESH_DIR/$accepted" \
  || fail "a resend after the loss of c1 is refused"
platform_start_replica c1 127.0.0.1 false
mesh_wait_until 8 config_is 127.0.0.1 "$MESH_DIR/r9" \
  || fail "c1 with an empty disk does not get the configuration"

for i in 1 2 3; do mesh_kill "c$i"; done
node_readiness_is 200 \
  || fail "the node is not ready without the control replicas"
for i in 1 2 3; do platform_start_replica "c$i" "127.0.0.$i" false; done
for i in 1 2 3; do
  mesh_wait_until 8 config_is "127.0.0.$i" "$MESH_DIR/r9" \
    || fail "the change is lost at c$i"
done
mesh_kill n
platform_start_process n
mesh_wait_until 8 node_readiness_is 200 \
  || fail "the restarted node is not ready"
route_status_is /nine/x 503 || fail "the restarted node has another version"
route_status_is "${path}x" 404 \
  || fail "the restarted node serves a removed route"
mesh_signal n TERM
mesh_wait_until 2 node_readiness_is 503 || fail "the stopping node is ready"
mesh_stop n 6 || fail "the node does not stop cleanly"
for i in 1 2 3; do mesh_stop "c$i" 6 || fail "c$i does not stop cleanly"; done
echo "platform: ok"
