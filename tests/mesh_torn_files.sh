#!/bin/bash
# Corrupt, torn and unusable data directories of a stopped replica.  Guards
# against a replica that starts with a corrupt log (and votes with it), one
# that does not start after a torn write, and error messages that do not name
# the cause.
set -u
cd "$(dirname "$0")/.." || exit 1
. scripts/mesh.sh
. scripts/mesh_state.sh
mesh_setup
state_set_control_nodes a b c
state_start_control a b c
state_apply_first_document a b c
for base in 1 2 3 4 5 6 7 8; do
  state_write_variant $((100 + base)) "$MESH_DIR/next.json"
  state_apply_document b "$MESH_DIR/next.json" "$base" "change-$base" \
    || state_fail "change on base $base is not accepted"
done
state_expect_within 5 "changes are not in force" state_all_have_version 9 a b c

# expect_start_failure NAME NODE TEXT: the node exits with status 1 and an
# error on --data-dir that contains TEXT.
expect_start_failure () {
  local status
  : >"$MESH_DIR/$2.log"
  state_start_control "$2"
  if ! mesh_wait_until 5 mesh_has_exited "$2"; then
    state_fail "$1: the node does not exit"
    state_kill "$2"
    return
  fi
  wait "${MESH_PID[$2]}"
  status=$?
  unset "MESH_PID[$2]"
  echo "$1: status $status, $(grep -o 'error=.*' "$MESH_DIR/$2.log" \
    | tail -n 1 | sed "s#$MESH_DIR/##g")"
  [ "$status" -eq 1 ] || state_fail "$1: exit status $status"
  grep -q "data-dir.*$3" "$MESH_DIR/$2.log" \
    || state_fail "$1: no line with \"$3\"" "$(cat "$MESH_DIR/$2.log")"
}

# newest_segment NODE: sets REPLY to the log segment with the newest records of
# the configuration group.
newest_segment () {
  REPLY=$(find "$MESH_DIR/$1.data/group-0" -name 'log-*' | sort | tail -n 1)
}

# flip_bit FILE OFFSET: inverts bit 4 of the byte at OFFSET.
flip_bit () {
  local byte
  byte=$(od -An -tu1 -j "$2" -N 1 "$1" | tr -d ' ')
  printf "\\x$(printf %x $((byte ^ 16)))" \
    | dd of="$1" bs=1 seek="$2" conv=notrunc status=none
}

state_kill c
newest_segment c
segment=$REPLY
size_bytes=$(stat -c %s "$segment")
cp -r "$MESH_DIR/c.data" "$MESH_DIR/c.backup"
flip_bit "$segment" $((size_bytes / 2))
expect_start_failure "bit flipped in the middle" c "log-"
grep -q 'offset' "$MESH_DIR/c.log" || state_fail "the error has no offset"

# A torn tail: the last record was not synced; the other replicas have it.
rm -rf "$MESH_DIR/c.data"
cp -r "$MESH_DIR/c.backup" "$MESH_DIR/c.data"
newest_segment c
truncate -s $((size_bytes - 7)) "$REPLY"
state_write_variant 200 "$MESH_DIR/next.json"
state_apply_document a "$MESH_DIR/next.json" 9 while-down \
  || state_fail "change to version 10 is not accepted"
state_start_control c
state_expect_within 10 "replica with a torn tail does not catch up" \
  state_has_version c 10
state_kill a
state_write_variant 201 "$MESH_DIR/next.json"
mesh_wait_until 10 state_apply_document b "$MESH_DIR/next.json" 10 with-c \
  || state_fail "no quorum with the repaired replica"
echo "torn tail: the replica catches up and counts for the quorum"

# Data directories that cannot be written.
data_dir=$MESH_DIR/a.data
rm -rf "$data_dir"
: >"$data_dir"
expect_start_failure "data directory is a file" a "a.data"
rm -f "$data_dir"
mkdir "$data_dir"
if [ "$(id -u)" -ne 0 ]; then
  chmod 500 "$data_dir"
  expect_start_failure "read-only data directory" a "Permission denied"
  chmod 700 "$data_dir"
fi
# A read-only file system, for any user.
if [ -d /proc/self ]; then
  rmdir "$data_dir"
  ln -s /proc/self/task "$data_dir"
  expect_start_failure "read-only file system" a "a.data"
  rm "$data_dir"
fi
# A full disk, simulated by the file size limit of the process.  Its log goes
# through a pipe, to which the limit does not apply.
state_kill c
mkdir -p "$data_dir"
: >"$MESH_DIR/a.log"
mesh_start_process a bash -c 'exec > >(cat) 2>&1; trap "" XFSZ; ulimit -f 1
  exec "$0" "$@"' \
  "$MESH_BIN/sycamorerudder-node" --listen "${MESH_LISTEN[a]}" \
  --admin "${MESH_ADMIN[a]}" --peer "${MESH_PEER[a]}" --instance a \
  --failure-domain domain-a --join "$MESH_JOIN" --control \
  --data-dir "$data_dir"
state_start_control c
if mesh_wait_until 10 mesh_has_exited a; then
  wait "${MESH_PID[a]}"
  status=$?
  unset "MESH_PID[a]"
  mesh_wait_until 2 grep -q 'store failed" error=".*a.data' "$MESH_DIR/a.log"
  echo "full disk: status $status, $(grep -o 'error=.*' "$MESH_DIR/a.log" \
    | head -n 1 | sed "s#$MESH_DIR/##g")"
  [ "$status" -eq 1 ] || state_fail "full disk: exit status $status"
  grep -q 'store failed" error=".*a.data' "$MESH_DIR/a.log" \
    || state_fail "full disk: no log line names the data directory" \
      "$(cat "$MESH_DIR/a.log")"
else
  state_fail "full disk: the node does not exit" "$(cat "$MESH_DIR/a.log")"
fi
state_expect_within 10 "the other replicas do not continue" \
  state_all_have_version 11 b c
state_start_control a
state_expect_within 10 "replica does not catch up on a disk with space" \
  state_has_version a 11
state_finish
