#!/bin/bash
# Settings of the node.  Guards against an invalid setting that is accepted, or
# refused without its name, an environment variable that overrides a flag, and
# a port in use that is not reported.
set -u
cd "$(dirname "$0")/.." || exit 1
. scripts/mesh.sh
. scripts/mesh_request.sh
mesh_setup
node=$MESH_BIN/sycamorerudder-node
valid_flags=(--listen 127.0.0.1:7101 --peer 127.0.0.1:7301 --failure-domain a
  --instance n1 --join 127.0.0.1:7301)

# expect_invalid SETTING VALUE: expects one line that names both, and status 2.
expect_invalid () {
  local output status
  output=$("$node" "${valid_flags[@]}" "$1" "$2" --check-settings 2>&1)
  status=$?
  mesh_expect "status of $1 $2" "$status" 2
  mesh_expect "lines of $1 $2" "$(echo "$output" | wc -l)" 1
  case $output in
    *"setting=$1 value=\"$2\" allowed="*) ;;
    *) mesh_fail "$1 $2: $output" ;;
  esac
}

expect_invalid --listen 127.0.0.1:0
expect_invalid --listen localhost:80
expect_invalid --peer 127.0.0.1
expect_invalid --instance UPPER
expect_invalid --failure-domain ""
expect_invalid --join 127.0.0.1:7301,
expect_invalid --drain-limit-ms 0
expect_invalid --memory-mb 63
expect_invalid --memory-mb 1048577
expect_invalid --memory-mb 64k
expect_invalid --log-severity loud
expect_invalid --operator-token-file "$MESH_DIR/missing"
"$node" "${valid_flags[@]}" --unknown >/dev/null 2>&1
mesh_expect "status of an unknown flag" $? 2
"$node" "${valid_flags[@]}" --control --check-settings >/dev/null 2>&1
mesh_expect "status of a replica without a data directory" $? 2
"$node" "${valid_flags[@]}" --check-settings >/dev/null 2>&1
mesh_expect "status of valid settings" $? 0
SYCAMORERUDDER_INSTANCE=UPPER "$node" "${valid_flags[@]}" --check-settings \
  >/dev/null 2>&1
mesh_expect "status of a valid flag over an invalid variable" $? 0
SYCAMORERUDDER_DRAIN_LIMIT_MS=0 "$node" "${valid_flags[@]}" --check-settings \
  >/dev/null 2>&1
mesh_expect "status of an invalid variable" $? 2
SYCAMORERUDDER_LOG_SEVERITY=loud "$node" --platform --check-settings \
  >/dev/null 2>&1
mesh_expect "status of an invalid severity with --platform" $? 2

mesh_reserve_node_ports n1
mesh_set_join n1
mesh_start_node n1 a
mesh_wait_until 5 mesh_port_is_open "${MESH_ADMIN[n1]#*:}" \
  || mesh_fail "n1 does not start"
mesh_reserve_port
"$node" --listen "${MESH_LISTEN[n1]}" --admin "127.0.0.1:$REPLY" \
  --peer "${MESH_PEER[n1]}" --failure-domain a --instance n2 \
  --join "$MESH_JOIN" >"$MESH_DIR/second" 2>&1
mesh_expect "status with a port in use" $? 1
grep -q 'setting=--listen' "$MESH_DIR/second" \
  || mesh_fail "port in use: $(cat "$MESH_DIR/second")"
mesh_finish
