#!/bin/bash
# Guards against clients of the own interface and of the admin port that end a
# node, or keep it from serving others, with requests that they do not finish:
# large bodies, whole or not, headers that stop short, and bodies of any length.
#
# Without arguments all crowds but "suspended" are played, else those that are
# named.  With CROWD_COUNT_KERNEL set, bytes that the kernel holds unread count
# for the memory of a node.
set -u
cd "$(dirname "$0")/.." || exit 1
. scripts/mesh.sh
. scripts/mesh_request.sh
. scripts/mesh_crowd.sh
mesh_setup

MEMORY_MB=64
DESCRIPTORS_MAX=2048
BODY_BYTES=262143       # the longest that a node keeps to send it again, less 1
ADMIN_BODY_BYTES=2097151 # the longest that the admin port reads, less 1
DOCUMENT_BYTES=1000000   # inside the limit of documents
# shellcheck disable=SC2034 # read by crowd_sample
CROWD_PROCESSES="n1 n2"

cat >"$MESH_DIR/doc.json" <<'JSON'
{"format": 1, "callers": {"header": "x-caller-id"},
 "headers": ["x-caller-id"],
 "services": [
  {"name": "orders", "slots": 16, "connections": 64, "kinds": [
   {"name": "upload", "method": "PUT", "path": "/", "importance": 50,
    "idempotent": true, "timeout_ms": 5000, "retries": 1},
   {"name": "read", "method": "GET", "path": "/", "importance": 50,
    "idempotent": true, "timeout_ms": 5000, "retries": 2}]}]}
JSON

reset_peak_memory () {
  echo 5 >"/proc/${MESH_PID[$1]}/clear_refs"
}

# check_node NODE: the process lives within its memory and its descriptors.
check_node () {
  local node=$1 memory kernel descriptors
  mesh_is_running "$node" || { mesh_fail "$CROWD: $node has ended"; return; }
  memory=$(($(crowd_peak "$node") / 1024))
  kernel=$(($(crowd_most "$node" 3) / 1024))
  descriptors=$(find "/proc/${MESH_PID[$node]}/fd" -mindepth 1 | wc -l)
  echo "$CROWD: $node peak memory $((memory / 1024)) MB," \
    "$((kernel / 1024)) MB unread in the kernel, $descriptors descriptors"
  [ $((memory + kernel)) -le $((MEMORY_MB * 1024)) ] \
    || mesh_fail "$CROWD: $node used $(((memory + kernel) / 1024)) MB"
  [ "$descriptors" -le "$DESCRIPTORS_MAX" ] \
    || mesh_fail "$CROWD: $node has $descriptors open descriptors"
}

# request_is_answered NODE: an ordinary request and one of an operator.
request_is_answered () {
  mesh_send_request "$1" orders GET /ordinary -H "X-Caller-Id: c1"
  [ "$REPLY" = 200 ] && mesh_get_admin "$1" /v1/members >/dev/null
}

crowd_has_settled () {
  grep -q '^settled' "$MESH_DIR/crowd.log"
}

# play_crowd ADDRESS CLIENTS FRAMING METHOD TARGET BYTES: plays one crowd at
# n2, which is suspended while it comes if CROWD_SUSPENDED is set, and checks all
# nodes.
play_crowd () {
  local node
  for node in n1 n2; do reset_peak_memory "$node"; done
  : >"$MESH_DIR/crowd.log"
  : >"$MESH_DIR/samples"
  if [ -n "${CROWD_COUNT_KERNEL:-}" ]; then
    crowd_sample_all >"$MESH_DIR/samples" &
    MESH_PID[sampler]=$!
  fi
  crowd_signal STOP
  mesh_start_process crowd "$MESH_BIN/tests/crowd_clients" "$@"
  mesh_wait_until 60 crowd_has_settled || mesh_fail "$CROWD: does not settle"
  echo "$CROWD: $(cat "$MESH_DIR/crowd.log")"
  crowd_signal CONT
  if mesh_wait_until 10 request_is_answered n2; then
    echo "$CROWD: an ordinary request is answered beside the crowd"
  else
    echo "$CROWD: no ordinary request is answered beside the crowd"
  fi
  for node in n1 n2; do check_node "$node"; done
  mesh_kill crowd
  mesh_kill sampler
  mesh_wait_until 20 request_is_answered n2 \
    || mesh_fail "$CROWD: no ordinary request is answered afterwards"
}

# One request inside the limits is served in calm.
check_calm () {
  head -c "$1" /dev/zero | tr '\0' ' ' >"$MESH_DIR/upload"
  mesh_send_request n2 orders PUT /upload -H "X-Caller-Id: c1" \
    -T "$MESH_DIR/upload" -H "Expect:"
  mesh_expect "$CROWD: body of $1 bytes" "$REPLY" 200
}

check_calm_admin () {
  { cat "$MESH_DIR/doc.json"; head -c "$DOCUMENT_BYTES" /dev/zero \
    | tr '\0' ' '; } | head -c "$DOCUMENT_BYTES" >"$MESH_DIR/upload"
  mesh_expect "$CROWD: long document" \
    "$(curl -s -m 15 -o /dev/null -w '%{http_code}' -H "Expect:" \
      --data-binary "@$MESH_DIR/upload" \
      "http://${MESH_ADMIN[n2]}/v1/validate")" 200
}

check_calm_all () {
  check_calm 1000
  check_calm "$BODY_BYTES"
  check_calm 4000000
  check_calm_admin
}

# Starts two nodes with empty disks, and a server beside n1.
start_mesh () {
  local node
  for node in n1 n2 fake; do mesh_kill "$node"; done
  rm -rf "$MESH_DIR"/*.data
  mesh_start_node n1 a --control --memory-mb "$MEMORY_MB"
  mesh_start_node n2 b --memory-mb "$MEMORY_MB"
  for node in n1 n2; do
    mesh_wait_until 10 mesh_port_is_open "${MESH_ADMIN[$node]#*:}" \
      || mesh_fail "$node does not start"
  done
  mesh_apply_first_document n1 "$MESH_DIR/doc.json" n1 n2
  mesh_start_backend fake n1 orders --slots 16 --service-us 2000 \
    --long-path /slow --long-factor 500 --answer-bytes 20
  mesh_wait_until 10 mesh_has_serving n2 orders 1 \
    || mesh_fail "$CROWD: server is not listed"
}

mesh_reserve_node_ports n1 n2
mesh_set_join n1
listen=${MESH_LISTEN[n2]}
admin=${MESH_ADMIN[n2]}
for CROWD in ${*:-length chunked head endless whole admin-length \
  admin-chunked admin-head admin-endless}; do
  start_mesh
  check_calm_all
  case $CROWD in
    length) play_crowd "$listen" 400 length PUT /upload "$BODY_BYTES" ;;
    suspended) CROWD_SUSPENDED=n2 \
      play_crowd "$listen" 400 length PUT /upload "$BODY_BYTES" ;;
    chunked) play_crowd "$listen" 400 chunked PUT /upload "$BODY_BYTES" ;;
    head) play_crowd "$listen" 3500 head GET /read 15000 ;;
    endless) play_crowd "$listen" 200 endless PUT /upload 8000000 ;;
    whole) play_crowd "$listen" 400 whole PUT /slow/upload "$BODY_BYTES" ;;
    admin-length)
      play_crowd "$admin" 60 length POST /v1/validate "$ADMIN_BODY_BYTES" ;;
    admin-chunked)
      play_crowd "$admin" 60 chunked POST /v1/validate "$ADMIN_BODY_BYTES" ;;
    admin-head) play_crowd "$admin" 3500 head GET /v1/members 15000 ;;
    admin-endless)
      play_crowd "$admin" 60 endless PUT /v1/document 8000000 ;;
    *) mesh_fail "unknown crowd $CROWD" ;;
  esac
  check_calm_all
done
mesh_finish
