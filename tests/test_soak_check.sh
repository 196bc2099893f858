#!/bin/bash
# Guards against soak checks that miss a violation, or print one but exit with
# status 0.  Each case adds one violating line to the files of a correct run.
set -u
cd "$(dirname "$0")/.." || exit 1
. scripts/mesh.sh
. scripts/mesh_request.sh
mesh_setup

# Writes the files of a soak-gate run without a violation.
write_gate_run () {
  rm -rf "$MESH_DIR/run"
  mkdir "$MESH_DIR/run"
  cd "$MESH_DIR/run" || exit 1
  echo "100 start POST /front-once/1 key=- trace=a caller=c" >front-4.journal
  {
    echo "100 start GET /front/2 key=- trace=b caller=c"
    echo "100 start POST /front-once/3 key=- trace=00-z-1 caller=c"
    echo "102 refuse POST /front-once/3 key=- trace=00-y-1 caller=c"
  } >front-5.journal
  echo "101 start POST /front-once/1 key=- trace=a caller=c" >stock-6.journal
  echo "101 start GET /front/2 key=- trace=b caller=c" >stock-7.journal
  echo "99 110 GET /front/2 key=- trace=b caller=c sent=99 status=200" \
    "result=whole" >burst-1.record
  {
    echo "change 100 120 5 2 200 race1-a"
    echo "change 100 120 5 2 412 race1-b"
    echo "read 130 140 5"
    echo "change 200 220 5 2 200 race1-a"
    echo "change 2000 2100 5 2 200 race1-a"
  } >operations
  write_contact c1 c2 c3
  cd - >/dev/null || exit 1
}

# Writes the files of a soak run without a violation.
write_soak_run () {
  rm -rf "$MESH_DIR/run"
  mkdir "$MESH_DIR/run"
  cd "$MESH_DIR/run" || exit 1
  echo "100 start POST /orders/1 key=k trace=00-a-1" >orders-4.journal
  echo "101 start POST /orders/1 key=k trace=00-a-1" >stock-6.journal
  echo "99 110 POST /orders/1 key=k trace=00-a-1 caller=c sent=99 status=200" \
    "result=whole reason=- run=ran resends=0 states=r" >burst-1.record
  echo "n1 1 2" >versions
  echo "2 r1-a accepted 2000 5" >changes
  write_contact n1 n2 n3
  cd - >/dev/null || exit 1
}

# write_contact REPLICA...: writes the log of node n4 and the contact of a run
# with these control replicas in which version 5, acknowledged at 2000 and 2100
# ms, is in force at n4 in time.
write_contact () {
  local name
  for name in "$@" n4; do
    echo "1000 up $name" >>contact
    echo "time=1.010 severity=notice program=p node=$name msg=\"started\" v=1"
    write_in_force 1.100 "$name" 3
    [ "$name" = n4 ] || write_in_force 2.000 "$name" 5
  done >n.log
  write_in_force 6.800 n4 5 >>n.log
  {
    echo "2100 silent $1 n4"
    echo "4000 silent n4"
    echo "20000 end"
  } >>contact
}

# write_in_force TIME NODE VERSION: prints the log line of a version in force.
write_in_force () {
  echo "time=$1 severity=notice program=p node=$2" \
    "msg=\"configuration in force\" version=$3 confirmed=1 source=read"
}

# expect_pass CHECK: expects that the script exits with status 0.
expect_pass () {
  scripts/"$1" "$MESH_DIR/run" >"$MESH_DIR/out" 2>&1 \
    || mesh_fail "$1 on a run without a violation: $(cat "$MESH_DIR/out")"
}

# expect_violation CHECK TEXT: expects that the script exits non-zero and
# reports a violation of the check TEXT.
expect_violation () {
  scripts/"$1" "$MESH_DIR/run" >"$MESH_DIR/out" 2>&1 \
    && mesh_fail "$1 exits with status 0 on a violation: $2"
  grep -qx "FAIL $2" "$MESH_DIR/out" || mesh_fail "$1 does not report: $2"
}

# check_violation WRITE CHECK TEXT FILE LINE: appends LINE to FILE of the run
# that WRITE creates, and expects that CHECK reports TEXT.
check_violation () {
  "$1"
  echo "$5" >>"$MESH_DIR/run/$4"
  expect_violation "$2" "$3"
}

write_gate_run
expect_pass soak-gate-check
check_violation write_gate_run soak-gate-check \
  "at most one run at front" front-5.journal \
  "102 start POST /front-once/1 key=- trace=a caller=c"
check_violation write_gate_run soak-gate-check \
  "at most one run at stock" stock-7.journal \
  "102 start POST /front-once/1 key=- trace=a caller=c"
check_violation write_gate_run soak-gate-check \
  "requests reported not-run were not run" burst-1.record \
  "99 110 POST /front-once/1 key=- trace=00-z-1 caller=c sent=99 status=503 \
result=refused reason=server-refused run=not-run resends=0 states=n"
check_violation write_gate_run soak-gate-check \
  "attempts at front" front-4.journal \
  "102 start GET /front/2 key=- trace=b caller=c
103 start GET /front/2 key=- trace=b caller=c"
check_violation write_gate_run soak-gate-check \
  "attempts at stock" stock-6.journal \
  "102 start GET /front/2 key=- trace=b caller=c
103 start GET /front/2 key=- trace=b caller=c
104 start GET /front/2 key=- trace=b caller=c
105 start GET /front/2 key=- trace=b caller=c"
check_violation write_gate_run soak-gate-check \
  "reads are not older than accepted changes" operations "read 150 160 2"
check_violation write_gate_run soak-gate-check \
  "reads do not decrease" operations "read 90 95 9"
check_violation write_gate_run soak-gate-check \
  "results of changes" operations \
  "change 300 310 5 2 200 race1-b"
check_violation write_gate_run soak-gate-check \
  "results of changes" operations \
  "change 300 310 5 2 412 race1-a"
write_soak_run
expect_pass soak-check
check_violation write_soak_run soak-check \
  "at most one run per key at orders" orders-4.journal \
  "102 start POST /orders/1 key=k trace=00-a-1"
check_violation write_soak_run soak-check \
  "versions do not decrease" versions "n1 1 1"
# retried_run ORDERS STOCK RESENDS: writes a run in which a caller's request with
# RESENDS resends ran ORDERS times at orders and STOCK times at stock.
retried_run () {
  local run
  write_soak_run
  for run in $(seq "$1"); do
    echo "20$run start GET /orders/2 key=- trace=00-r-$run"
  done >>"$MESH_DIR/run/orders-4.journal"
  for run in $(seq "$2"); do
    echo "20$run start GET /orders/2 key=- trace=00-r-$run"
  done >>"$MESH_DIR/run/stock-6.journal"
  echo "200 210 GET /orders/2 key=- trace=00-r-0 caller=c sent=200 status=200" \
    "result=whole reason=- run=ran resends=$3 states=r" \
    >>"$MESH_DIR/run/burst-1.record"
}

# One retry of orders, whose run calls stock like every other, is one retry and
# not two; retries at both services count together.
for runs in "1 4 0" "4 4 0" "4 1 0" "2 4 0" "4 4 1" "5 5 1" "1 4 2"; do
  # shellcheck disable=SC2086
  retried_run $runs
  expect_pass soak-check
done
for runs in "1 5 0" "5 5 0" "5 1 0" "2 5 0" "3 5 0" "6 6 1" "5 6 1" "1 5 1" \
  "0 4 0"; do
  # shellcheck disable=SC2086
  retried_run $runs
  expect_violation soak-check "attempts within the retry allowance"
done
check_violation write_soak_run soak-check \
  "results of changes" changes "2 r1-b accepted"
check_violation write_soak_run soak-check \
  "no request started after the server has left" orders-4.journal \
  "200 left
4000 start GET /orders/2 key=- trace=00-b-1"
# in_force_late CHECK WRITE LATE [EVENT]: writes a run in which version 5 is in
# force at n4 at LATE, after the further EVENT of the file "contact".
in_force_late () {
  "$2"
  sed -i "s/^time=6.800/time=$3/" "$MESH_DIR/run/n.log"
  [ $# -lt 4 ] || echo "$4" >>"$MESH_DIR/run/contact"
}

# check_in_force CHECK WRITE REPLICA REPLICA: cases of nodes in and out of touch.
check_in_force () {
  local late="accepted versions are in force in time" event
  in_force_late "$1" "$2" 7.050
  expect_violation "$1" "$late"
  # Neither a loss of one replica, more than 3 s before, nor the silence between
  # other nodes cuts n4 off.
  for event in "3900 down $3" "6900 silent $3 $4" "6900 silent n5"; do
    in_force_late "$1" "$2" 7.050 "$event"
    expect_violation "$1" "$late"
  done
  for event in "5000 silent all" "5000 silent n4 $3" "5000 silent $3" \
    "6000 down $3" "6000 down n4"; do
    in_force_late "$1" "$2" 7.050 "$event"
    expect_pass "$1"
  done
  # Without a quorum no node is in touch, and again 3 s after its return.
  in_force_late "$1" "$2" 12.950 "4100 down $3
4200 down $4
10000 up $4"
  expect_pass "$1"
  in_force_late "$1" "$2" 13.050 "4100 down $3
4200 down $4
10000 up $4"
  expect_violation "$1" "$late"
  check_violation "$2" "$1" "confirmed versions in force do not decrease" n.log \
    "$(write_in_force 9.000 n4 4)"
}

check_in_force soak-gate-check write_gate_run c1 c2
check_in_force soak-check write_soak_run n1 n2
mesh_finish
