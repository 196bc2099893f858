#!/bin/bash
# Configurations that the pages call invalid are sent on top of the newest one.
# Each must be refused with a 4xx, and the newest one stays in force.
set -u
cd "$(dirname "$0")" || exit 2
. ../lab-3/lab.sh
lab_setup
lab_start_core
lab_print_config r5 >"$LAB_DIR/r5"
lab_is_replaced 2 r1 "$LAB_DIR/r5" || lab_exit 2 "r5 is not accepted"
lab_note "operator r5 on r1: 200"
broken=0

# send NAME FILE: an invalid configuration, with r5 as its base.
send () {
  local status
  status=$(lab_replace 2 r5 "$2")
  lab_note "operator $1 on r5: $status"
  case $status in
    4??) ;;
    200) lab_note "broken: an invalid configuration is acknowledged ($1)"
         broken=1 ;;
    *) lab_exit 2 "no clear answer" ;;
  esac
}

if [ "$TROUBLE" = 1 ]; then
  lab_print_config r3 >"$LAB_DIR/r3"
  send "version r3" "$LAB_DIR/r3"
  lab_print_config r5 ',["r-x","shop.example","/x/","idempotent",4,2,1,null,2,"stock"]' \
    >"$LAB_DIR/r5-again"
  send "version r5" "$LAB_DIR/r5-again"
  lab_print_config r0 >"$LAB_DIR/r0"
  send "version r0" "$LAB_DIR/r0"
fi
lab_note "read: $(lab_read 1)"
if ! lab_wait 3 lab_read_is 1 r5; then
  lab_note "broken: r5 is the newest valid acknowledged version, the read gives $(lab_read 3)"
  broken=1
fi
lab_print_config r7 >"$LAB_DIR/r7"
lab_note "operator r7 on r5: $(lab_replace 3 r5 "$LAB_DIR/r7")"
lab_exit "$broken" "result: $([ "$broken" = 0 ] && echo held || echo broken)"
