#!/bin/bash
# A leader that stops running past its lease and goes on.  Guards against a
# former leader that answers from its old state (document, or a version that
# its status calls confirmed), takes a change on an old base, or loses what
# was acknowledged meanwhile.
set -u
cd "$(dirname "$0")/.." || exit 1
. scripts/mesh.sh
. scripts/mesh_state.sh
mesh_begin
state_nodes a b c
state_start a b c
state_begin a b c
state_watch a b c
version=1

# Asks one node in a loop what is in force, as an operator would.  Requests
# that wait in the frozen process are answered as soon as it goes on.
poll_document () {
  while :; do
    curl -s -m 20 -D - "http://${MESH_ADMIN[$1]}/v1/document" \
      | tr -d '\r' | awk '
        /^HTTP/ { status = $2 }
        tolower ($1) == "x-version:" { version = $2 }
        sub (/.*"quarantine_s": /, "") { mark = $0 + 0 }
        END { print "document", status, version, mark }'
    sleep 0.01
  done >>"$2"
}

poll_status () {
  while :; do
    curl -s -m 20 "http://${MESH_ADMIN[$1]}/v1/status" | awk '
      /"confirmed":/ { gsub (/[ ,]/, ""); sub (/.*:/, ""); confirmed = $0 }
      /"number":/ { gsub (/[^0-9]/, ""); number = $0 }
      END { print "status", number, confirmed }'
    sleep 0.01
  done >>"$2"
}

freeze_round () {
  local round=$1 other leader seen=$MESH_DIR/seen.$1
  mesh_until 10 state_leader a b c || state_fail "no leader"
  leader=$REPLY
  for other in a b c; do
    [ "$other" = "$leader" ] || break
  done
  mesh_signal "$leader" STOP
  # Only requests that were sent after the freeze are in the files.
  poll_document "$leader" "$seen" &
  MESH_PID[document]=$!
  poll_status "$leader" "$seen" &
  MESH_PID[status]=$!
  # In reach again only after the lease and an election.
  for change in 1 2 3; do
    state_document $((1000 + version)) "$MESH_DIR/next.json"
    state_change "$other" "$MESH_DIR/next.json" "$version" "r$round-$change" \
      || state_fail "change $change while the leader is frozen"
    version=$((version + 1))
  done
  sleep "$2"
  [ ! -s "$seen" ] || state_fail "the frozen node answered" "$(cat "$seen")"
  mesh_signal "$leader" CONT
  # A change on the old base gets a conflict, also through the former leader.
  mesh_apply "$leader" "$MESH_DIR/next.json" $((version - 3)) "old-$round" \
    >"$MESH_DIR/old" 2>&1 && state_fail "a change on an old base was accepted"
  grep -q "conflict: version $version is in force" "$MESH_DIR/old" \
    || state_fail "no conflict at the former leader" "$(cat "$MESH_DIR/old")"
  state_must_in 5 "former leader is behind" state_has "$leader" "$version"
  grep State: "/proc/${MESH_PID[$leader]}/status" | grep -q stopped \
    && state_fail "the former leader is still stopped"
  # The requests that waited in the frozen node are answered by now.
  state_must_in 5 "no document was answered" grep -q '^document 200' "$seen"
  mesh_kill document
  mesh_kill status
  check_answers "$seen"
}

# Every document is the current one; an older version in the status is not
# called confirmed.
check_answers () {
  local wrong
  wrong=$(awk -v now="$version" '
    $1 == "document" && $2 == 200 && ($3 < now || $4 != 999 + now) { print }
    $1 == "status" && $2 != "" && $2 < now && $3 == "true" { print }' "$1")
  [ -z "$wrong" ] || state_fail "answered from the old state" "$wrong"
  echo "answers of the former leader: $(sort "$1" | uniq -c | tr -s ' ' \
    | tr '\n' ';')"
}

freeze_round 1 2.5
freeze_round 2 4
# Nothing acknowledged is lost: also after a restart of all.
state_kill a b c
state_start a b c
state_must_in 10 "acknowledged changes are lost" \
  state_all_have "$version" a b c
state_watch_end
state_finish
