#!/bin/bash
# Guards against changes of the configuration that are lost, accepted twice or
# not in force, with real processes under the platform's settings and calls:
# races, resends, a killed leader, a lost disk, a kill of everything, and a node
# that starts and stops.
set -u
cd "$(dirname "$0")/.." || exit 1
. scripts/mesh.sh
. scripts/mesh_platform.sh
mesh_begin
plat_ports 127.0.0.1 127.0.0.2 127.0.0.3

fail () {
  echo "FAIL: $1"
  tail -n 15 "$MESH_DIR"/*.log
  exit 1
}

# in_force IP FILE: whether a read gives these bytes back.
in_force () { plat_get "$1" | cmp -s - "$2"; }
asks () { plat_asks 127.0.0.4 "$1" "$2"; }
ready () { plat_ready 127.0.0.4 "$1"; }

for i in 1 2 3; do plat_replica "c$i" "127.0.0.$i" true; done
plat_node n 127.0.0.4 a
mesh_until 5 ready 503 || fail "a node without a configuration is ready"
asks /one/x 503 || fail "a node without a configuration does not answer 503"

plat_document 2 /two/ >"$MESH_DIR/r2"
mesh_until 10 plat_accepted 127.0.0.2 0 "$MESH_DIR/r2" || fail "first change"
for i in 1 2 3; do
  mesh_until 3 in_force "127.0.0.$i" "$MESH_DIR/r2" || fail "read at c$i"
done
mesh_until 2 ready 200 || fail "node is not ready"
asks /two/x 503 || fail "a route without a server"
asks /none/x 404 || fail "no route"

plat_document 4 /four/ >"$MESH_DIR/r4"
plat_document 4 /other/ >"$MESH_DIR/r4b"
plat_put 127.0.0.1 r2 "$MESH_DIR/r4" >"$MESH_DIR/a" &
plat_put 127.0.0.3 r2 "$MESH_DIR/r4b" >"$MESH_DIR/b" &
wait %+ %-
both=$(cat "$MESH_DIR/a")$(cat "$MESH_DIR/b")
case $both in
  200412) won=r4 lost=r4b path=/four/ ;;
  412200) won=r4b lost=r4 path=/other/ ;;
  *) fail "two changes on one version gave $both" ;;
esac
mesh_until 2 asks "${path}x" 503 || fail "the change is not in force"
[ "$(plat_put 127.0.0.2 r2 "$MESH_DIR/$won")" = 200 ] || fail "a resend is refused"
[ "$(plat_put 127.0.0.2 r2 "$MESH_DIR/$lost")" = 412 ] || fail "the loser is taken"
plat_document 3 /three/ >"$MESH_DIR/r3"
[ "$(plat_put 127.0.0.2 r4 "$MESH_DIR/r3")" = 412 ] || fail "a lower version"
head -c 300 "$MESH_DIR/r4" >"$MESH_DIR/cut"
[ "$(plat_put 127.0.0.2 r4 "$MESH_DIR/cut")" = 400 ] || fail "half a change"

mesh_kill c1
rm -rf "$MESH_DIR/c1.data"
plat_document 9 /nine/ >"$MESH_DIR/r9"
mesh_until 6 plat_accepted 127.0.0.2 r4 "$MESH_DIR/r9" || fail "change without c1"
plat_accepted 127.0.0.3 r2 "$MESH_DIR/$won" || fail "a resend after a loss"
plat_replica c1 127.0.0.1 false
mesh_until 8 in_force 127.0.0.1 "$MESH_DIR/r9" || fail "c1 with an empty disk"

for i in 1 2 3; do mesh_kill "c$i"; done
ready 200 || fail "the node needs the control replicas to be ready"
for i in 1 2 3; do plat_replica "c$i" "127.0.0.$i" false; done
for i in 1 2 3; do
  mesh_until 8 in_force "127.0.0.$i" "$MESH_DIR/r9" || fail "lost at c$i"
done
mesh_kill n
plat_start n
mesh_until 8 ready 200 || fail "a node that starts is not ready"
asks /nine/x 503 || fail "a node that starts has another version"
asks "${path}x" 404 || fail "a route that is gone"
mesh_signal n TERM
mesh_until 2 ready 503 || fail "a stopping node is ready"
mesh_stop n 6 || fail "stop of the node"
for i in 1 2 3; do mesh_stop "c$i" 6 || fail "stop of c$i"; done
echo "platform: changes, losses and restarts hold"
