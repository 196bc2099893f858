# Fault events of soak runs.  Sourced by soak-run.sh.  "action_due_ms" holds
# the due times of scheduled actions (see now_ms) under the keys ACTION:NAME,
# "stop_deadline_ms" the deadlines of graceful stops, "fault_of" the kind of
# fault of processes that are killed, frozen, leaving, stopping, crashed or
# without power.

# record_contact TEXT: appends "MS TEXT" to "contact".  The events there tell the
# check which nodes are in touch with the control replicas: "down NAME", "up
# NAME", "wiped NAME" (started without its disk), "silent all", "silent NAME
# [NAME]" and "end".
record_contact () {
  echo "$(date +%s%3N) $1" >>"$MESH_DIR/contact"
}

# set_fault NAME KIND
set_fault () {
  fault_of[$1]=$2
  record_contact "down $1"
}

clear_fault () {
  unset "fault_of[$1]"
  record_contact "up $1"
}

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
  clear_fault "$1"
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
  set_fault "$REPLY" killed
  mesh_kill "$REPLY"
  schedule_action "$delay_ms" start "$REPLY"
}

# event_freeze NAME...: suspends one of the processes for 1 to 4 s.
event_freeze () {
  draw_running "$@" || return
  local delay_ms=$((1000 + RANDOM % 3000))
  log_event "freeze $REPLY for $delay_ms ms"
  set_fault "$REPLY" frozen
  mesh_signal "$REPLY" STOP
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
  set_fault "$REPLY" stopping
  mesh_signal "$REPLY" TERM
  stop_deadline_ms[$REPLY]=$(($(now_ms) + stop_limit_s * 1000))
  schedule_action 200 check_stop "$REPLY"
}

# run_contact_event SEED: one of the events that cut nodes off from the control
# replicas, each kind in turn; SEED selects the first one.  A race follows, which
# changes the configuration before or after the nodes must be in touch again.
run_contact_event () {
  local race_delay_ms=$((300 + RANDOM % 4000))
  case $((($1 + contact_count) % 4)) in
    0) event_silent_all ;;
    1) event_power_loss ;;
    2) event_silent_node ;;
    3) event_silent_pair ;;
  esac
  contact_count=$((contact_count + 1))
  schedule_action "$race_delay_ms" race "$contact_count"
}
contact_count=0

# Repeats a race until a version is known.
action_race () {
  event_race || schedule_action 500 race "$1"
}

# The open connections between all nodes go silent for good; new ones work.
event_silent_all () {
  log_event "silent connections of all nodes"
  relay_silence_all
  record_contact "silent all"
}

# The same for those of one node.
event_silent_node () {
  draw_one "${RELAY_NODES[@]}"
  log_event "silent connections of $REPLY"
  relay_silence_node "$REPLY"
  record_contact "silent $REPLY"
}

# The same for those between a control replica and another node.
event_silent_pair () {
  local replica
  draw_one $control_nodes
  replica=$REPLY
  while [ "$REPLY" = "$replica" ]; do draw_one "${RELAY_NODES[@]}"; done
  log_event "silent connections between $replica and $REPLY"
  relay_silence_pair "$replica" "$REPLY"
  record_contact "silent $replica $REPLY"
}

# Kills the control replicas, also those that are frozen, and starts them after
# 1 to 12 s, together with those that were killed before.  Meanwhile each SYN to
# them is dropped.  Replicas that are stopping are left out.
event_power_loss () {
  local delay_ms=$((1000 + RANDOM % 11000)) name lost=
  for name in $control_nodes; do
    case ${fault_of[$name]:-} in stopping | powerless) ;; *) lost="$lost $name" ;; esac
  done
  [ -n "$lost" ] || return
  log_event "power loss of$lost for $delay_ms ms"
  for name in $lost; do
    unset "action_due_ms[start:$name]" "action_due_ms[resume:$name]"
    set_fault "$name" powerless
  done
  for name in $lost; do
    mesh_kill "$name"
    relay_drop_connects "$name"
    schedule_action "$delay_ms" power_on "$name"
  done
  schedule_action $((delay_ms + 500 + RANDOM % 3500)) race "power-$contact_count"
}

action_power_on () {
  relay_restore "$1" || fail "no relays to $1"
  action_start "$1"
}
