# The run of scripts/soak and scripts/soak-gate.  Sourced by them after mesh.sh;
# they set controls, servers, fakes, recovery_s and stop_s, and define begin,
# start_one, stop_one, next_burst, observe, event, all_served and resend_changes.

. scripts/soak-events.sh
declare -A down due
failed=0
burst=0
next_load=0
soak_tick_s=0.2

# Time since the start, in milliseconds.
now_ms () {
  echo $(($(date +%s%3N) - started_ms))
}

say () {
  printf '%7d ms  %s\n' "$(now_ms)" "$1"
}

fail () {
  echo "FAIL $1"
  failed=1
}

# Whether all calls of a result file were whole.
soak_whole () {
  awk '/"all": {/ { all = 1 } /}/ { all = 0 }
    all && /"calls":/ { calls = $2 + 0 } all && /"whole":/ { whole = $2 + 0 }
    END { exit !(calls > 0 && calls == whole) }' "$1"
}

# Waits for all bursts; a burst fails when an answer was wrong.
end_bursts () {
  local name
  for name in "${!MESH_PID[@]}"; do
    case $name in load-*) ;; *) continue ;; esac
    mesh_until 40 mesh_ended "$name" || fail "$name does not end"
    wait "${MESH_PID[$name]}" || fail "$name: a wrong answer"
    unset "MESH_PID[$name]"
  done
}

# Restarts servers that a request has crashed, and reports processes of the
# product that ended by themselves.
supervise () {
  local name
  for name in $controls $servers $fakes; do
    [ -z "${down[$name]:-}" ] || continue
    mesh_alive "$name" && continue
    case " $controls $servers " in
      *" $name "*)
        fail "$name ended by itself"
        tail -n 5 "$MESH_DIR/$name.log"
        ;;
    esac
    mesh_kill "$name"
    down[$name]=crashed
    later 500 start "$name"
  done
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

# Ends all faults and waits until everything is served.
recover () {
  local ended
  wait_others
  end_faults
  supervise
  end_faults
  ended=$(now_ms)
  say "faults ended"
  if mesh_until "$recovery_s" all_served; then
    say "everything is served after $(($(now_ms) - ended)) ms"
  else
    fail "not everything is served $recovery_s s after the faults"
    cat "$MESH_DIR/after.json"
  fi
}

# soak_run SEED SECONDS CHECK: the whole run; prints the schedule and the result,
# and exits non-zero when anything failed.  Files of a failed run are kept.
soak_run () {
  local next_event ends name
  started_ms=$(date +%s%3N)
  echo "seed $1, $2 s"
  begin || {
    tail -n 3 "$MESH_DIR"/*.log
    fail "the mesh does not start"
    exit 1
  }
  RANDOM=$1
  next_event=$(now_ms)
  ends=$((next_event + $2 * 1000))
  say "started"
  while [ "$(now_ms)" -lt "$ends" ]; do
    next_burst
    run_due
    supervise
    observe
    if [ "$(now_ms)" -ge "$next_event" ]; then
      event
      next_event=$(($(now_ms) + 300 + RANDOM % 2000))
    fi
    sleep "$soak_tick_s"
  done
  recover
  end_bursts
  resend_changes
  for name in $fakes $servers $controls; do stop_one "$name"; done
  "$3" "$MESH_DIR" || failed=1
  if [ "$failed" -eq 0 ]; then
    echo "soak: ok"
  else
    echo "soak: failed, seed $1"
    MESH_KEEP=1
  fi
  exit "$failed"
}
