# Fault events of soak runs; sourced by soak-run.sh.  "due" holds actions by
# time, "down" the processes that are not running or frozen on purpose.

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
    mesh_until "$stop_s" mesh_ended "$name"
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
    fail "$1 did not stop gracefully in $stop_s s"
    mesh_kill "$1"
  else
    wait "${MESH_PID[$1]}" || fail "$1 ended with status $?"
    unset "MESH_PID[$1]"
  fi
  start_one "$1"
  say "start $1"
}

declare -A stop_limit

# Time that a graceful stop may take, in seconds.
stop_s=${stop_s:-40}

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
  draw_up "$@" || return
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
  stop_limit[$REPLY]=$(($(now_ms) + stop_s * 1000))
  later 200 stopped "$REPLY"
}
