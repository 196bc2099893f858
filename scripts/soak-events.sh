# Fault events of soak runs.  Sourced by soak-run.sh.  "action_due_ms" holds
# the due times of scheduled actions (see now_ms) under the keys ACTION:NAME,
# "stop_deadline_ms" the deadlines of graceful stops, "fault_of" the kind of
# fault of processes that are killed, frozen, leaving, stopping or crashed.

# schedule_action MS ACTION NAME: runs the function action_ACTION with NAME
# after MS milliseconds.
schedule_action () {
  action_due_ms[$2:$3]=$(($(now_ms) + $1))
}

# run_due_actions [all]: runs the actions that are due, or all.
run_due_actions () {
  local key
  for key in "${!action_due_ms[@]}"; do
    [ "${1:-}" = all ] || [ "${action_due_ms[$key]}" -le "$(now_ms)" ] \
      || continue
    unset "action_due_ms[$key]"
    "action_${key%%:*}" "${key#*:}"
  done
}

action_start () {
  start_process "$1"
  log_event "start $1"
}

action_resume () {
  mesh_signal "$1" CONT
  unset "fault_of[$1]"
  log_event "resume $1"
}

action_restore_speed () {
  mesh_signal "$1" USR2
  log_event "normal speed $1"
}

# Waits for the processes that are stopping and runs all scheduled actions, so
# that no fault is left.
end_faults () {
  local name
  for name in "${!fault_of[@]}"; do
    [ "${fault_of[$name]}" = stopping ] || continue
    unset "action_due_ms[check_stop:$name]"
    mesh_wait_until "$stop_limit_s" mesh_has_exited "$name"
    action_check_stop "$name"
  done
  run_due_actions all
}

# Checks that a graceful stop ends with status 0 before its deadline, and
# starts the process again.
action_check_stop () {
  if mesh_is_running "$1" \
    && [ "$(now_ms)" -lt "${stop_deadline_ms[$1]}" ]; then
    schedule_action 200 check_stop "$1"
    return
  fi
  if mesh_is_running "$1"; then
    fail "$1 did not stop gracefully within $stop_limit_s s"
    mesh_kill "$1"
  else
    wait "${MESH_PID[$1]}" || fail "$1 exited with status $?"
    unset "MESH_PID[$1]"
  fi
  start_process "$1"
  log_event "start $1"
}

declare -A stop_deadline_ms

# Maximum duration of a graceful stop, in seconds.
stop_limit_s=${stop_limit_s:-40}

# draw_one ITEM...: sets REPLY to one of the arguments at random.
draw_one () {
  local index=$((RANDOM % $# + 1))
  REPLY=${!index}
}

# draw_running NAME...: sets REPLY to one of the processes at random; fails
# when it is not running or has a fault.
draw_running () {
  draw_one "$@"
  [ -z "${fault_of[$REPLY]:-}" ] && mesh_is_running "$REPLY"
}

# event_kill NAME...: kills one of the processes and restarts it after 0.2 to
# 4.2 s.
event_kill () {
  draw_running "$@" || return
  local delay_ms=$((200 + RANDOM % 4000))
  log_event "kill $REPLY, start after $delay_ms ms"
  mesh_kill "$REPLY"
  fault_of[$REPLY]=killed
  schedule_action "$delay_ms" start "$REPLY"
}

# event_freeze NAME...: suspends one of the processes for 1 to 4 s.
event_freeze () {
  draw_running "$@" || return
  local delay_ms=$((1000 + RANDOM % 3000))
  log_event "freeze $REPLY for $delay_ms ms"
  mesh_signal "$REPLY" STOP
  fault_of[$REPLY]=frozen
  schedule_action "$delay_ms" resume "$REPLY"
}

# event_slow NAME...: slows one of the backend servers for 2 to 6 s.
event_slow () {
  draw_running "$@" || return
  local delay_ms=$((2000 + RANDOM % 4000))
  log_event "slow $REPLY for $delay_ms ms"
  mesh_signal "$REPLY" USR1
  schedule_action "$delay_ms" restore_speed "$REPLY"
}

# event_graceful_restart NAME...: stops one of the processes with SIGTERM and
# restarts it.
event_graceful_restart () {
  draw_running "$@" || return
  log_event "graceful restart $REPLY"
  mesh_signal "$REPLY" TERM
  fault_of[$REPLY]=stopping
  stop_deadline_ms[$REPLY]=$(($(now_ms) + stop_limit_s * 1000))
  schedule_action 200 check_stop "$REPLY"
}
