#!/bin/bash
# A day of hundreds of changes of a configuration that has grown by many
# routes.  Then all processes of the core are killed at the same moment and
# started again after a second.  The stand-in of the platform ends a process
# that uses more than its memory_mb, and starts it again after a second.  The
# acknowledged configuration must be read after recovery_s.
set -u
cd "$(dirname "$0")" || exit 2
. ../lab-3/lab.sh
lab_setup
lab_start_core
changes=500
routes=2800
declare -A peak ends due

now_ms () { echo $(($(date +%s%N) / 1000000)); }

# Ends the processes of the core that use more than their memory, and starts
# those that ended a second ago.
watch_core () {
  local i kb now
  now=$(now_ms)
  for i in 1 2 3; do
    if [ -n "${due[$i]:-}" ]; then
      [ "$now" -ge "${due[$i]}" ] || continue
      unset "due[$i]"
      lab_start_replica "$i" false
      continue
    fi
    kb=$(sed -n 's/^VmHWM:[^0-9]*\([0-9]*\).*/\1/p' \
      "/proc/${LAB_PID[c$i]}/status" 2>/dev/null)
    [ "${kb:-0}" -gt "${peak[$i]:-0}" ] && peak[$i]=$kb
    [ "${kb:-0}" -gt $((LAB_MEMORY_MB * 1024)) ] || continue
    lab_kill "c$i"
    due[$i]=$((now + 1000))
    ends[$i]=$((${ends[$i]:-0} + 1))
    lab_note "platform: c$i used $((kb / 1024)) MB of $LAB_MEMORY_MB, end ${ends[$i]}"
  done
}

"$LAB" changes "$LAB_CONTROL" "$changes" "$routes" shop 1 "$LAB_RECORD" \
  "$LAB_NET.1" "$LAB_NET.2" "$LAB_NET.3" >"$LAB_DIR/last" &
LAB_PID[operator]=$!
while kill -0 "${LAB_PID[operator]}" 2>/dev/null && [ "$SECONDS" -lt 60 ]; do
  watch_core
  sleep 0.02
done
wait "${LAB_PID[operator]}" 2>/dev/null
unset "LAB_PID[operator]"
last=$(cat "$LAB_DIR/last")
[ "$last" = $((changes + 1)) ] || lab_exit 2 "not all changes were acknowledged"
lab_note "operator: r$last acknowledged; peaks in MB: $((${peak[1]} / 1024)) $((${peak[2]} / 1024)) $((${peak[3]} / 1024))"
for i in 1 2 3; do lab_note "read at core machine $i: $(lab_read "$i")"; done
if [ "$TROUBLE" = 1 ]; then
  for i in 1 2 3; do kill -KILL "${LAB_PID[c$i]}" 2>/dev/null; done
  for i in 1 2 3; do lab_kill "c$i"; due[$i]=$(($(now_ms) + 1000)); done
  lab_note "all processes of the core are killed"
fi
# recovery_s is 15.
end=$((SECONDS + 17))
while [ "$SECONDS" -lt "$end" ]; do watch_core; sleep 0.02; done
# The operator reads for contact_s and more.
came=0
end=$((SECONDS + 8))
while [ "$SECONDS" -lt "$end" ] && [ "$came" = 0 ]; do
  for i in 1 2 3; do
    answer=$(lab_read "$i")
    lab_note "read at core machine $i: $answer"
    [ "$answer" = "200 r$last" ] && came=1
    watch_core
  done
  sleep 0.1
done
broken=0
three=0
for i in 1 2 3; do
  lab_note "core machine $i: peak $((${peak[$i]} / 1024)) MB, ended for its memory ${ends[$i]:-0} times"
  [ "${ends[$i]:-0}" -ge 3 ] && three=$((three + 1))
done
[ "$came" = 1 ] || { lab_note "broken: r$last was acknowledged and doesn't come"; broken=1; }
[ "$three" -lt 2 ] || { lab_note "broken: processes on half of the core end by themselves three times"; broken=1; }
lab_exit "$broken" "result: $([ "$broken" = 0 ] && echo held || echo broken)"
