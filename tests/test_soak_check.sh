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
  } >operations
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
  echo "2 r1-a accepted" >changes
  cd - >/dev/null || exit 1
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
check_violation write_soak_run soak-check \
  "results of changes" changes "2 r1-b accepted"
check_violation write_soak_run soak-check \
  "no request started after the server has left" orders-4.journal \
  "200 left
4000 start GET /orders/2 key=- trace=00-b-1"
mesh_finish
