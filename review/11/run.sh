#!/bin/bash
# The installation bears the loss of one zone.  A machine of the core loses its
# disk; long after it has caught up, the machine of another zone loses its disk.
# The acknowledged configuration must still be read.
set -u
cd "$(dirname "$0")" || exit 2
. ../lab-3/lab.sh
LAB_TOLERANCE=${LAB_CASE_TOLERANCE:-'{"machines":0,"zones":1,"regions":0}'}
lab_setup
lab_start_core
lab_print_config r5 >"$LAB_DIR/r5"
lab_is_replaced 2 r1 "$LAB_DIR/r5" || lab_exit 2 "r5 is not accepted"
lab_note "operator r5 acknowledged"

# lose_disk NUMBER: the machine loses its disk and starts again at its address.
lose_disk () {
  lab_kill "c$1"
  rm -rf "$LAB_DIR/c$1.data"
  lab_note "core machine $1 lost its disk"
  sleep 1
  lab_start_replica "$1" false
  lab_note "core machine $1 started again, with an empty disk"
}

[ "$TROUBLE" = 1 ] && lose_disk 1
# catch_up_s is 4; the machine has three times that.
sleep 12
lab_print_config r7 >"$LAB_DIR/r7"
lab_wait 4 lab_is_replaced 3 r5 "$LAB_DIR/r7" || lab_exit 2 "r7 is not accepted"
lab_note "operator r7 acknowledged"
for i in 1 2 3; do lab_note "read at core machine $i: $(lab_read "$i")"; done
[ "$TROUBLE" = 1 ] && lose_disk 2
# recovery_s is 15.
sleep 20
broken=1
for attempt in 1 2; do
  for i in 1 2 3; do
    answer=$(lab_read "$i")
    lab_note "read at core machine $i: $answer"
    [ "$answer" = "200 r7" ] && broken=0
  done
  [ "$broken" = 0 ] && break
  sleep 1
done
lab_print_config r9 >"$LAB_DIR/r9"
lab_note "operator r9 on r7: $(lab_replace 1 r7 "$LAB_DIR/r9")"
[ "$broken" = 0 ] || lab_note "broken: r7 was acknowledged and is gone"
lab_exit "$broken" "result: $([ "$broken" = 0 ] && echo held || echo broken)"
