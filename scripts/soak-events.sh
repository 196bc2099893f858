# Fault events of scripts/soak.  "due" holds actions by time, "down" the
# processes that are not running or frozen on purpose.

# later MS ACTION NAME: runs the action after that time.
later () {
  due[$2:$3]=$(($(now_ms) + $1))
}

# Runs the actions that are due, or all of them.
run_due () {
  local key
  for key in "${!due[@]}"; do
    [ "${1:-}" = all ] || [ "${due[$key]}" -le "$(now_ms)" ] || continue
    unset "due[$key]"
    "due_${key%%:*}" "${key#*:}"
  done
}

due_start () {
  start_one "$1"
  say "start $1"
}

due_resume () {
  mesh_signal "$1" CONT
  unset "down[$1]"
  say "resume $1"
}

due_speed_up () {
  mesh_signal "$1" USR2
  say "normal speed $1"
}

# Ends what "due" and "down" hold, so that every process runs normally.
end_faults () {
  local name
  for name in "${!down[@]}"; do
    [ "${down[$name]}" = stopping ] || continue
    unset "due[stopped:$name]"
    mesh_until 40 mesh_ended "$name"
    due_stopped "$name"
  done
  run_due all
}

# A graceful stop must end in time; the process then starts again.
due_stopped () {
  if mesh_alive "$1" && [ "$(now_ms)" -lt "${stop_limit[$1]}" ]; then
    later 200 stopped "$1"
    return
  fi
  if mesh_alive "$1"; then
    fail "$1 did not stop gracefully in 40 s"
    mesh_kill "$1"
  else
    wait "${MESH_PID[$1]}" || fail "$1 ended with status $?"
    unset "MESH_PID[$1]"
  fi
  start_one "$1"
  say "start $1"
}

declare -A stop_limit

# Draws one of its arguments into REPLY.
draw () {
  local index=$((RANDOM % $# + 1))
  REPLY=${!index}
}

# Draws a process that is running into REPLY; fails when it is not.
draw_up () {
  draw "$@"
  [ -z "${down[$REPLY]:-}" ] && mesh_alive "$REPLY"
}

event_kill () {
  draw_up "$@" || return
  local wait_ms=$((200 + RANDOM % 4000))
  say "kill $REPLY, start after $wait_ms ms"
  mesh_kill "$REPLY"
  down[$REPLY]=killed
  later "$wait_ms" start "$REPLY"
}

event_freeze () {
  draw_up "$@" || return
  local wait_ms=$((1000 + RANDOM % 3000))
  say "freeze $REPLY for $wait_ms ms"
  mesh_signal "$REPLY" STOP
  down[$REPLY]=frozen
  later "$wait_ms" resume "$REPLY"
}

event_slow () {
  draw_up "${fake_of[@]}" || return
  local wait_ms=$((2000 + RANDOM % 4000))
  say "slow $REPLY for $wait_ms ms"
  mesh_signal "$REPLY" USR1
  later "$wait_ms" speed_up "$REPLY"
}

event_graceful () {
  draw_up "$@" || return
  say "graceful restart $REPLY"
  mesh_signal "$REPLY" TERM
  down[$REPLY]=stopping
  stop_limit[$REPLY]=$(($(now_ms) + 40000))
  later 200 stopped "$REPLY"
}

# One request with three tries, recorded like the bursts.
event_request () {
  local path=$1
  draw $controls
  special=$((special + 1))
  say "request $path-$special"
  "$MESH_BIN/rudder-load" --target "${MESH_LISTEN[$REPLY]}" --host orders \
    --rate 2 --seconds 1 --timeout-ms 1500 --retries 2 \
    --retry-at-once --record "$MESH_DIR/special-$special.record" \
    --request "GET $path-$special-{n} 1" >/dev/null 2>&1 &
}
special=0

# apply NODE BASE ID: notes "BASE ID RESULT" with accepted, conflict or
# unknown.
apply () {
  local output result=conflict
  output=$(timeout 8 "$MESH_BIN/rudderctl" --admin "${MESH_ADMIN[$1]}" apply \
    "$MESH_DIR/$3.json" --base "$2" --change-id "$3" 2>&1)
  case $?:$output in
    0:*) result=accepted ;;
    124:* | *"not known"* | *nable* | *later*) result=unknown ;;
  esac
  echo "$2 $3 $result" >>"$MESH_DIR/changes"
  [ "$result" != conflict ] || echo "$output" >>"$MESH_DIR/conflicts.log"
}

# Two operators change the same version at the same time.
event_race () {
  local base id
  race=$((race + 1))
  draw $controls
  base=$(mesh_get "$REPLY" /v1/status | sed -n 's/.*"number": \([0-9]*\).*/\1/p')
  [ -n "$base" ] || return
  say "race on version $base"
  for id in "r$race-a" "r$race-b"; do
    sed "s/\"format\": 1,/&\n  \"drain_limit_ms\": $((20000 + RANDOM)),/" \
      examples/demo.json >"$MESH_DIR/$id.json"
    draw $controls
    apply "$REPLY" "$base" "$id" &
  done
}
race=0

# Sends all changes again; each must get its first result.
resend_changes () {
  local line base id
  wait_others
  cut -d' ' -f1,2 "$MESH_DIR/changes" | sort -u >"$MESH_DIR/sent"
  while read -r base id; do
    draw $controls
    apply "$REPLY" "$base" "$id" </dev/null
  done <"$MESH_DIR/sent"
}

# Waits for operators and single requests that are still running; a crashing
# request that is resent later would be one more fault.
wait_others () {
  local pid
  for pid in $(jobs -pr); do
    case " ${MESH_PID[*]} " in
      *" $pid "*) ;;
      *) wait "$pid" ;;
    esac
  done
}

event () {
  case $((RANDOM % 12)) in
    0 | 1) event_kill $controls $servers ;;
    2) event_kill "${fake_of[@]}" ;;
    3 | 4) event_freeze $controls $servers ;;
    5) event_freeze "${fake_of[@]}" ;;
    6) event_slow ;;
    7) event_graceful $servers $controls ;;
    8) event_graceful "${fake_of[@]}" ;;
    9) event_request /orders/crash ;;
    10) event_request /orders/silent ;;
    11) event_race ;;
  esac
}
