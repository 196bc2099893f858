#!/bin/bash
# Guards against checks of soak runs that print a violation and pass all the
# same, or see none.
set -u
cd "$(dirname "$0")/.." || exit 1
. scripts/mesh.sh
. scripts/mesh_request.sh
mesh_begin

# A run of each soak without a violation.
gate_run () {
  rm -rf "$MESH_DIR/run"
  mkdir "$MESH_DIR/run"
  cd "$MESH_DIR/run" || exit 1
  echo "100 start POST /front-once/1 key=- trace=a caller=c" >front-4.journal
  echo "100 start GET /front/2 key=- trace=b caller=c" >front-5.journal
  echo "101 start POST /front-once/1 key=- trace=a caller=c" >stock-6.journal
  echo "101 start GET /front/2 key=- trace=b caller=c" >stock-7.journal
  echo "99 110 GET /front/2 key=- trace=b caller=c sent=99 status=200" \
    "result=whole" >burst-1.record
  {
    echo "change 100 120 5 2 200 race1-a"
    echo "change 100 120 5 2 412 race1-b"
    echo "read 130 140 5"
    echo "change 200 220 5 2 200 race1-a"
  } >operators
  cd - >/dev/null || exit 1
}

own_run () {
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

# passes CHECK, and fails CHECK TEXT: whether TEXT is among the violations.
passes () {
  scripts/"$1" "$MESH_DIR/run" >"$MESH_DIR/out" 2>&1 \
    || mesh_fail "$1 on a run without a violation: $(cat "$MESH_DIR/out")"
}

fails () {
  scripts/"$1" "$MESH_DIR/run" >"$MESH_DIR/out" 2>&1 \
    && mesh_fail "$1 passes: $2"
  grep -qx "FAIL $2" "$MESH_DIR/out" || mesh_fail "$1 does not name: $2"
}

# bad SET CHECK TEXT FILE LINE: one line more breaks one promise.
bad () {
  "$1"
  echo "$5" >>"$MESH_DIR/run/$4"
  fails "$2" "$3"
}

gate_run
passes soak-gate-check
bad gate_run soak-gate-check "one run at front" front-5.journal \
  "102 start POST /front-once/1 key=- trace=a caller=c"
bad gate_run soak-gate-check "one run at stock" stock-7.journal \
  "102 start POST /front-once/1 key=- trace=a caller=c"
bad gate_run soak-gate-check "attempts at front" front-4.journal \
  "102 start GET /front/2 key=- trace=b caller=c
103 start GET /front/2 key=- trace=b caller=c"
bad gate_run soak-gate-check "attempts at stock" stock-6.journal \
  "102 start GET /front/2 key=- trace=b caller=c
103 start GET /front/2 key=- trace=b caller=c
104 start GET /front/2 key=- trace=b caller=c
105 start GET /front/2 key=- trace=b caller=c"
bad gate_run soak-gate-check "reads are not older than what was accepted" \
  operators "read 150 160 2"
bad gate_run soak-gate-check "reads do not go back" operators "read 90 95 9"
bad gate_run soak-gate-check "changes" operators \
  "change 300 310 5 2 200 race1-b"
bad gate_run soak-gate-check "changes" operators \
  "change 300 310 5 2 412 race1-a"
own_run
passes soak-check
bad own_run soak-check "one run per key at orders" orders-4.journal \
  "102 start POST /orders/1 key=k trace=00-a-1"
bad own_run soak-check "versions do not go back" versions "n1 1 1"
bad own_run soak-check "changes" changes "2 r1-b accepted"
bad own_run soak-check "no work after leaving" orders-4.journal \
  "200 left
4000 start GET /orders/2 key=- trace=00-b-1"
mesh_finish
