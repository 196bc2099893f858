#!/bin/bash
# Replaces all three control replicas under the platform's settings, with real
# processes.  Guards against a group that ends for good because a replica that
# has left keeps its vote although its successor has caught up: two planned
# replacements, then a replica that is killed for good.
set -u
cd "$(dirname "$0")/.." || exit 1
. scripts/mesh.sh
. scripts/mesh_platform.sh
mesh_setup
platform_reserve_ports 127.0.0.1 127.0.0.2 127.0.0.3

# Bound that the platform states (bounds.catch_up_s), and a little more.
catch_up_s=4.1

fail () {
  echo "FAIL: $1"
  grep -h "log members" "$MESH_DIR"/*.log | tail -n 20
  tail -n 15 "$MESH_DIR"/*.log
  exit 1
}

version=0
# change TEXT IP...: a change must be acknowledged at one of these replicas, and
# be read at all of them.
change () {
  local text=$1 next=$((version + 2)) ip
  shift
  platform_print_config "$next" "/v$next/" >"$MESH_DIR/next"
  mesh_wait_until 10 change_at_any "$@" || fail "no change is accepted $text"
  version=$next
  for ip in "$@"; do
    mesh_wait_until 8 config_is "$ip" || fail "$ip has no change $text"
  done
}
change_at_any () {
  local ip
  for ip in "$@"; do
    platform_apply_config "$ip" "r$version" "$MESH_DIR/next" && return 0
  done
  return 1
}
config_is () { platform_get_config "$1" | cmp -s - "$MESH_DIR/next"; }

for i in 1 2 3; do platform_start_replica "c$i" "127.0.0.$i" true; done
change "at the start" 127.0.0.{1,2,3}
for i in 4 5; do platform_start_replica "c$i" "127.0.0.$i" false; done
sleep "$catch_up_s"
change "with the new replicas" 127.0.0.{1,2,3,4,5}

mesh_stop c1 6 || fail "c1 does not stop cleanly"
change "after c1 was replaced" 127.0.0.{2,3,4,5}
mesh_stop c2 6 || fail "c2 does not stop cleanly"
change "after c2 was replaced" 127.0.0.{3,4,5}

# c3 is killed for good; its successor starts later.  The settings of a new
# process name replicas that run.
mesh_kill c3
PLATFORM_SEEDS="\"127.0.0.4:$PLATFORM_CONTROL_PORT\""
platform_start_replica c6 127.0.0.6 false
sleep "$catch_up_s"
change "after c3 was replaced" 127.0.0.{4,5,6}
mesh_kill c4
rm -rf "$MESH_DIR/c4.data"
PLATFORM_SEEDS="\"127.0.0.5:$PLATFORM_CONTROL_PORT\""
platform_start_replica c4 127.0.0.4 false
change "after c4 has lost its disk" 127.0.0.{4,5,6}
for i in 4 5 6; do mesh_stop "c$i" 6 || fail "c$i does not stop cleanly"; done
echo "replace: ok"
