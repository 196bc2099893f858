#!/bin/bash
# Invalid versions of the configuration, sent to every control replica in every
# state.  Guards against a version that is acknowledged although it isn't above
# the current one, because its number has a meaning of its own inside the
# product or isn't the number that was sent.
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

config_is () { platform_get_config "$1" | cmp -s - "$2"; }

# check_refused BASE VERSION...: whether each replica refuses the versions on
# top of BASE.
check_refused () {
  local version ip
  for version in "${@:2}"; do
    platform_print_config "$version" >"$MESH_DIR/invalid"
    for ip in 127.0.0.1 127.0.0.2 127.0.0.3; do
      REPLY=$(platform_replace_config "$ip" "$1" "$MESH_DIR/invalid")
      [[ $REPLY == 4?? ]] || fail "r$version on base $1 gets $REPLY at $ip"
    done
  done
}

# check_current FILE VERSION: whether each replica returns FILE, and refuses
# what isn't above VERSION.
check_current () {
  local ip
  for ip in 127.0.0.1 127.0.0.2 127.0.0.3; do
    mesh_wait_until 8 config_is "$ip" "$1" \
      || fail "$ip does not return r$2"
  done
  check_refused "r$2" 0 00 "$2" 1 "0$((${2} + 1))" 18446744073709551615 \
    18446744073709551616 99999999999999999999999999
  check_refused "$2" "$(($2 + 1))"
  check_refused "r0$2" "$(($2 + 1))"
}

start_replicas () {
  local i
  for i in 1 2 3; do platform_start_replica "c$i" "127.0.0.$i" "$1"; done
}

start_replicas true
platform_print_config 7 >"$MESH_DIR/r7"
# A leader is there as soon as a change on a wrong base is refused.
mesh_wait_until 10 eval '[ "$(platform_replace_config 127.0.0.1 r5 \
  "$MESH_DIR/r7")" = 412 ]' || fail "no leader"
check_refused 0 0 00
check_refused r0 0 00
platform_apply_config 127.0.0.2 0 "$MESH_DIR/r7" \
  || fail "the first configuration is refused"
check_current "$MESH_DIR/r7" 7

for i in 1 2 3; do mesh_kill "c$i"; done
start_replicas false
check_current "$MESH_DIR/r7" 7
platform_print_config 9 >"$MESH_DIR/r9"
platform_apply_config 127.0.0.3 r7 "$MESH_DIR/r9" \
  || fail "a valid change is refused after invalid ones"
check_current "$MESH_DIR/r9" 9
for i in 1 2 3; do mesh_stop "c$i" 6 || fail "c$i does not stop cleanly"; done
echo "versions: ok"
