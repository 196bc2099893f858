#!/bin/bash
# rudder-load against rudder-fake.  Guards against a load generator that counts
# an invalid response as a valid one, which would falsify every measurement.
set -u
cd "$(dirname "$0")/.." || exit 1
. scripts/mesh.sh
mesh_setup
mesh_reserve_port
fake=127.0.0.1:$REPLY
mesh_reserve_port
unused=127.0.0.1:$REPLY
failures=0

# fail TEXT [DETAILS]: prints both and counts a failure.
fail () {
  failures=$((failures + 1))
  echo "FAIL $1"
  [ $# -lt 2 ] || echo "$2"
}

# run_load TARGET FLAG...: makes calls for one second; sets output, and status
# to the exit status.
run_load () {
  output=$("$MESH_BIN/rudder-load" --target "$1" --host stock --seconds 1 \
    "${@:2}" 2>&1)
  status=$?
}

# load_count WORD: prints the number after WORD in the line "label all".
load_count () {
  echo "$output" | sed -n "s/^label all .*\b$1 \([0-9]*\).*/\1/p"
}

# expect_all NAME OUTCOME: expects at least one call, OUTCOME for all of them,
# and status 0 of the load.
expect_all () {
  local calls
  calls=$(load_count calls)
  if [ "${calls:-0}" -eq 0 ] || [ "$(load_count "$2")" != "$calls" ] \
    || [ "$status" -ne 0 ]; then
    fail "$1: status $status" "$output"
  fi
}

# expect_invalid PROGRAM NAME VALUE: expects one line that names setting and
# value, and status 2.
expect_invalid () {
  output=$("$MESH_BIN/$1" "--$2" "$3" 2>&1)
  status=$?
  if [ "$status" -ne 2 ] || [ "$(echo "$output" | wc -l)" -ne 1 ] \
    || ! echo "$output" | grep -q -- "--$2 \"$3\".*allowed: "; then
    fail "$1 --$2 $3: status $status" "$output"
  fi
}

mesh_start_process fake "$MESH_BIN/rudder-fake" --listen "$fake" --service-us 500 \
  --truncate-path /cut --silent-path /silent --crash-path /crash \
  --corrupt-path /flip \
  --journal "$MESH_DIR/journal"
mesh_wait_until 5 mesh_port_is_open "${fake#*:}" || fail "fake does not listen"

run_load "$fake" --concurrency 4 --request "GET /a/{n}/bytes/70000 2" \
  --request "POST /b 1 bytes=40000 key" --callers 3
expect_all "whole responses" whole
run_load "$fake" --rate 50 --chunked --request "POST /c 1 bytes=5000 key"
expect_all "chunked requests" whole
run_load "$fake" --concurrency 1 --request "GET /cut/bytes/9000 1"
expect_all "truncated responses" truncated
run_load "$fake" --concurrency 2 --timeout-ms 200 --request "GET /silent 1"
expect_all "silent responses" timed-out
run_load "$unused" --rate 20 --request "GET /a 1"
expect_all "no listener" unreachable

# A resend carries the same key, and each attempt is in the journal.
run_load "$fake" --concurrency 1 --timeout-ms 300 --retries 2 --retry-at-once \
  --request "POST /silent/{n} 1 key"
[ "$(grep -c ' start POST /silent/0 ' "$MESH_DIR/journal")" -eq 3 ] \
  || fail "resends are not in the journal"
[ "$(sed -n 's/.* start POST \/silent\/0 \(key=[^ ]*\).*/\1/p' \
  "$MESH_DIR/journal" | sort -u | wc -l)" -eq 1 ] \
  || fail "resends change the key"

# A flipped bit in a response of the correct length.
run_load "$fake" --rate 20 --request "GET /flip/bytes/5000 1"
if [ "$(load_count wrong)" != "$(load_count calls)" ] \
  || [ "$status" -eq 0 ]; then
  fail "wrong responses: status $status" "$output"
fi

run_load "$fake" --rate 5 --request "GET /crash 1"
[ "$(load_count closed)" -ge 1 ] \
  || fail "no call is counted as closed after a crash" "$output"
mesh_wait_until 5 mesh_has_exited fake || fail "fake did not exit on /crash"
mesh_kill fake

mesh_start_process fake "$MESH_BIN/rudder-fake" --listen "$fake"
mesh_wait_until 5 mesh_port_is_open "${fake#*:}" || fail "fake does not listen"
mesh_stop fake 5 || fail "fake does not stop cleanly"

# Response fields that a front end requires of backend servers.
mesh_start_process fake "$MESH_BIN/rudder-fake" --listen "$fake" --id-field X-Id \
  --answer-field "X-Seal: s" --answer-field "X-Load: 1,2"
mesh_wait_until 5 mesh_port_is_open "${fake#*:}" || fail "fake does not listen"
output=$(curl -s -i -m 2 -H "X-Id: id-7" "http://$fake/a" | tr -d '\r')
for line in "x-id: id-7" "x-seal: s" "x-load: 1,2"; do
  echo "$output" | grep -qix "$line" || fail "no field $line" "$output"
done
run_load "$fake" --concurrency 1 --id-field X-Id --request "GET /a 1"
expect_all "responses to requests with an id" whole
mesh_kill fake

for program in rudder-fake rudder-load; do
  "$MESH_BIN/$program" --help >/dev/null \
    || fail "$program --help exits non-zero"
done
expect_invalid rudder-fake listen 127.0.0.1
expect_invalid rudder-fake slots 0
expect_invalid rudder-fake answer-field x
expect_invalid rudder-load rate 1x
expect_invalid rudder-load timeout-ms 0
expect_invalid rudder-load target 127.0.0.1:70000

[ "$failures" -eq 0 ] && echo "tools: ok"
exit "$((failures > 0))"
