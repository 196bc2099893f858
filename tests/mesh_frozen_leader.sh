#!/bin/bash
# Suspends the leader for longer than its lease and resumes it.  Guards against
# a former leader that serves stale state (the document, or an old version that
# its status reports as confirmed), accepts a change on an old base version, or
# loses changes that were acknowledged meanwhile.
set -u
cd "$(dirname "$0")/.." || exit 1
. scripts/mesh.sh
. scripts/mesh_state.sh
mesh_setup
state_set_control_nodes a b c
state_start_control a b c
state_apply_first_document a b c
state_start_polling a b c
version=1

# poll_document NODE FILE: reads the document of NODE in a loop, as an operator
# would, and appends the versions to FILE.  Requests that are pending in the
# suspended process get their responses as soon as it resumes.
poll_document () {
  while :; do
    curl -s -m 20 -D - "http://${MESH_ADMIN[$1]}/v1/document" \
      | tr -d '\r' | awk '
        /^HTTP/ { status = $2 }
        tolower ($1) == "x-version:" { version = $2 }
        sub (/.*"quarantine_s": /, "") { variant = $0 + 0 }
        END { print "document", status, version, variant }'
    sleep 0.01
  done >>"$2"
}

# poll_status NODE FILE: the same for the version in the status.
poll_status () {
  while :; do
    curl -s -m 20 "http://${MESH_ADMIN[$1]}/v1/status" | awk '
      /"confirmed":/ { gsub (/[ ,]/, ""); sub (/.*:/, ""); confirmed = $0 }
      /"number":/ { gsub (/[^0-9]/, ""); number = $0 }
      END { print "status", number, confirmed }'
    sleep 0.01
  done >>"$2"
}

# freeze_round ROUND SECONDS: suspends the leader, applies three changes, waits
# for SECONDS, resumes the leader and checks its responses.
freeze_round () {
  local round=$1 other leader polled=$MESH_DIR/polled.$1
  mesh_wait_until 10 state_find_leader a b c || state_fail "no leader"
  leader=$REPLY
  for other in a b c; do
    [ "$other" = "$leader" ] || break
  done
  mesh_signal "$leader" STOP
  # The file holds only responses to requests that were sent after the freeze.
  poll_document "$leader" "$polled" &
  MESH_PID[document]=$!
  poll_status "$leader" "$polled" &
  MESH_PID[status]=$!
  # The first change is accepted only after the lease and an election.
  for change in 1 2 3; do
    state_write_variant $((1000 + version)) "$MESH_DIR/next.json"
    state_apply_document "$other" "$MESH_DIR/next.json" "$version" "r$round-$change" \
      || state_fail "change $change while the leader is suspended"
    version=$((version + 1))
  done
  sleep "$2"
  [ ! -s "$polled" ] \
    || state_fail "the suspended node responded" "$(cat "$polled")"
  mesh_signal "$leader" CONT
  # A change on the old base gets a conflict, also through the former leader.
  mesh_apply_document "$leader" "$MESH_DIR/next.json" $((version - 3)) "old-$round" \
    >"$MESH_DIR/old" 2>&1 && state_fail "a change on an old base was accepted"
  grep -q "conflict: version $version is in force" "$MESH_DIR/old" \
    || state_fail "no conflict at the former leader" "$(cat "$MESH_DIR/old")"
  state_expect_within 5 "former leader is behind" \
    state_has_version "$leader" "$version"
  grep State: "/proc/${MESH_PID[$leader]}/status" | grep -q stopped \
    && state_fail "the former leader is still stopped"
  # The pending requests get their responses.
  state_expect_within 5 "no document was returned" \
    grep -q '^document 200' "$polled"
  mesh_kill document
  mesh_kill status
  check_polled "$polled"
}

# check_polled FILE: every document is of the current version, and the status
# does not report an older version as confirmed.  freeze_round writes variant
# 999 + N as version N.
check_polled () {
  local stale
  stale=$(awk -v now="$version" '
    $1 == "document" && $2 == 200 && ($3 < now || $4 != 999 + now) { print }
    $1 == "status" && $2 != "" && $2 < now && $3 == "true" { print }' "$1")
  [ -z "$stale" ] || state_fail "the former leader served stale state" "$stale"
  echo "responses of the former leader: $(sort "$1" | uniq -c | tr -s ' ' \
    | tr '\n' ';')"
}

freeze_round 1 2.5
freeze_round 2 4
# No acknowledged change is lost, also after a restart of all nodes.
state_kill a b c
state_start_control a b c
state_expect_within 10 "acknowledged changes are lost" \
  state_all_have_version "$version" a b c
state_check_polled_versions
state_finish
