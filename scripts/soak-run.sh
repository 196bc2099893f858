# Main loop of scripts/soak and scripts/soak-gate.  Sourced by them after
# mesh.sh and mesh_relay.sh.  They set control_nodes, service_nodes (nodes beside a backend
# server), backends (backend servers), all lists of process names;
# recovery_limit_s; and, for another value than the default, stop_limit_s.  They
# define start_mesh, start_process, stop_process, start_due_burst,
# poll_one_version, run_random_event, event_race, all_calls_succeed and
# resend_changes.

. scripts/soak-events.sh
declare -A fault_of action_due_ms
failed=0
burst_count=0
next_burst_ms=0
poll_interval_s=0.2

# Prints the time since the start, in milliseconds.
now_ms () {
  echo $(($(date +%s%3N) - started_ms))
}

# log_event TEXT: prints a line of the schedule.
log_event () {
  printf '%7d ms  %s\n' "$(now_ms)" "$1"
}

fail () {
  echo "FAIL $1"
  failed=1
}

# soak_all_whole FILE: whether the JSON result of rudder-load has calls, and
# all got a whole response.
soak_all_whole () {
  awk '/"all": {/ { all = 1 } /}/ { all = 0 }
    all && /"calls":/ { calls = $2 + 0 } all && /"whole":/ { whole = $2 + 0 }
    END { exit !(calls > 0 && calls == whole) }' "$1"
}

# Waits until all bursts have ended; counts a failure for a burst with a wrong
# response.
check_bursts () {
  local name
  for name in "${!MESH_PID[@]}"; do
    case $name in load-*) ;; *) continue ;; esac
    mesh_wait_until 40 mesh_has_exited "$name" || fail "$name does not end"
    wait "${MESH_PID[$name]}" || fail "$name: a response was wrong"
    unset "MESH_PID[$name]"
  done
}

# Schedules a restart of the processes that exited without an injected fault.
# Fake backend servers do so on a crashing request; for nodes it is a failure.
restart_crashed () {
  local name
  for name in $control_nodes $service_nodes $backends; do
    [ -z "${fault_of[$name]:-}" ] || continue
    mesh_is_running "$name" && continue
    case " $control_nodes $service_nodes " in
      *" $name "*)
        fail "$name exited unexpectedly"
        tail -n 5 "$MESH_DIR/$name.log"
        ;;
    esac
    mesh_kill "$name"
    set_fault "$name" crashed
    schedule_action 500 start "$name"
  done
}

# Waits for background changes and single requests.  A crashing request that is
# resent after the faults have ended would be another fault.
wait_for_background_jobs () {
  local pid
  for pid in $(jobs -pr); do
    case " ${MESH_PID[*]} " in
      *" $pid "*) ;;
      *) wait "$pid" ;;
    esac
  done
}

# Ends all faults and checks that all calls succeed within the recovery limit.
check_recovery () {
  local faults_ended_ms
  wait_for_background_jobs
  end_faults
  restart_crashed
  end_faults
  faults_ended_ms=$(now_ms)
  log_event "faults ended"
  if mesh_wait_until "$recovery_limit_s" all_calls_succeed; then
    log_event "all calls succeed after $(($(now_ms) - faults_ended_ms)) ms"
  else
    fail "calls still fail $recovery_limit_s s after the faults"
    cat "$MESH_DIR/after.json"
  fi
}

# soak_run SEED SECONDS CHECK: performs the run, then runs the script CHECK on
# its files.  Prints the schedule and the result; exits non-zero after a
# failure.  The files of a failed run are kept.
soak_run () {
  local next_event_ms next_contact_ms ends_ms name
  started_ms=$(date +%s%3N)
  echo "seed $1, $2 s"
  start_mesh || {
    tail -n 3 "$MESH_DIR"/*.log
    fail "the mesh does not start"
    exit 1
  }
  RANDOM=$1
  next_event_ms=$(now_ms)
  next_contact_ms=$((next_event_ms + 1000))
  ends_ms=$((next_event_ms + $2 * 1000))
  log_event "started"
  while [ "$(now_ms)" -lt "$ends_ms" ]; do
    start_due_burst
    run_due_actions
    restart_crashed
    poll_one_version
    if [ "$(now_ms)" -ge "$next_event_ms" ]; then
      run_random_event
      next_event_ms=$(($(now_ms) + 300 + RANDOM % 2000))
    fi
    if [ "$(now_ms)" -ge "$next_contact_ms" ]; then
      run_contact_event "$1"
      next_contact_ms=$(($(now_ms) + 2500 + RANDOM % 5000))
    fi
    sleep "$poll_interval_s"
  done
  check_recovery
  check_bursts
  resend_changes
  record_contact end
  for name in $backends $service_nodes $control_nodes; do
    stop_process "$name"
  done
  "$3" "$MESH_DIR" || failed=1
  if [ "$failed" -eq 0 ]; then
    echo "soak: ok"
  else
    echo "soak: failed, seed $1"
    MESH_KEEP=1
  fi
  exit "$failed"
}
