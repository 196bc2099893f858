#!/bin/bash
# Damaged, torn and unusable data folders of a stopped replica.  Guards
# against a replica that runs on a damaged log (and votes from it), one that
# does not come back after a torn write, and errors that do not say what is
# wrong.
set -u
cd "$(dirname "$0")/.." || exit 1
. scripts/mesh.sh
. scripts/mesh_state.sh
mesh_begin
state_nodes a b c
state_start a b c
state_begin a b c
for base in 1 2 3 4 5 6 7 8; do
  state_document $((100 + base)) "$MESH_DIR/next.json"
  state_change b "$MESH_DIR/next.json" "$base" "change-$base" \
    || state_fail "change on $base"
done
state_must_in 5 "changes are not in force" state_all_have 9 a b c

# expect_refusal WHAT NODE TEXT: the node does not start; its last lines have
# TEXT and the exit status is 1.
expect_refusal () {
  local status
  : >"$MESH_DIR/$2.log"
  state_start "$2"
  if ! mesh_until 5 mesh_ended "$2"; then
    state_fail "$1: the node runs"
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

# Segment with the newest records of the configuration group.
segment_of () {
  REPLY=$(find "$MESH_DIR/$1.data/group-0" -name 'log-*' | sort | tail -n 1)
}

# flip_bit FILE OFFSET
flip_bit () {
  local byte
  byte=$(od -An -tu1 -j "$2" -N 1 "$1" | tr -d ' ')
  printf "\\x$(printf %x $((byte ^ 16)))" \
    | dd of="$1" bs=1 seek="$2" conv=notrunc status=none
}

state_kill c
segment_of c
segment=$REPLY
size=$(stat -c %s "$segment")
cp -r "$MESH_DIR/c.data" "$MESH_DIR/c.kept"
flip_bit "$segment" $((size / 2))
expect_refusal "bit flipped in the middle" c "log-"
grep -q 'offset' "$MESH_DIR/c.log" || state_fail "no offset is named"

# A torn tail: the last record was not synced, others have it.
rm -rf "$MESH_DIR/c.data"
cp -r "$MESH_DIR/c.kept" "$MESH_DIR/c.data"
segment_of c
truncate -s $((size - 7)) "$REPLY"
state_document 200 "$MESH_DIR/next.json"
state_change a "$MESH_DIR/next.json" 9 while-down || state_fail "change 10"
state_start c
state_must_in 10 "replica with a torn tail does not catch up" state_has c 10
state_kill a
state_document 201 "$MESH_DIR/next.json"
mesh_until 10 state_change b "$MESH_DIR/next.json" 10 with-c \
  || state_fail "no quorum with the repaired replica"
echo "torn tail: catches up and counts for the quorum"

# Places that cannot be written.
as_file=$MESH_DIR/a.data
rm -rf "$as_file"
: >"$as_file"
expect_refusal "data folder is a file" a "a.data"
rm -f "$as_file"
mkdir "$as_file"
if [ "$(id -u)" -ne 0 ]; then
  chmod 500 "$as_file"
  expect_refusal "read-only data folder" a "Permission denied"
  chmod 700 "$as_file"
fi
# A read-only file system, for any user.
if [ -d /proc/self ]; then
  rmdir "$as_file"
  ln -s /proc/self/task "$as_file"
  expect_refusal "read-only file system" a "a.data"
  rm "$as_file"
fi
# A full disk: the write limit of the process stands in for it.
state_kill c
mkdir -p "$as_file"
: >"$MESH_DIR/a.log"
mesh_start a bash -c 'trap "" XFSZ; ulimit -f 1; exec "$0" "$@"' \
  "$MESH_BIN/sycamorerudder-node" --listen "${MESH_LISTEN[a]}" \
  --admin "${MESH_ADMIN[a]}" --peer "${MESH_PEER[a]}" --instance a \
  --failure-domain domain-a --join "$MESH_JOIN" --control \
  --data-dir "$as_file"
state_start c
if mesh_until 10 mesh_ended a; then
  wait "${MESH_PID[a]}"
  status=$?
  unset "MESH_PID[a]"
  echo "full disk: status $status, $(grep -o 'error=.*' "$MESH_DIR/a.log" \
    | head -n 1 | sed "s#$MESH_DIR/##g")"
  [ "$status" -eq 1 ] || state_fail "full disk: exit status $status"
  grep -q 'store failed" error=".*a.data' "$MESH_DIR/a.log" \
    || state_fail "full disk: no clear error" "$(cat "$MESH_DIR/a.log")"
else
  state_fail "full disk: the node runs on" "$(cat "$MESH_DIR/a.log")"
fi
state_must_in 10 "the others do not go on" state_all_have 11 b c
state_start a
state_must_in 10 "replica does not come back on a disk with space" \
  state_has a 11
state_finish
