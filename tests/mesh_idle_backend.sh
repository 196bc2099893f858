#!/bin/bash
# Sends orders with some seconds between them.  Guards against a non-idempotent
# request that ends as "unknown" although no byte of it reached the backend
# server, only because the node's connection to the server had been idle for
# some seconds.
set -u
cd "$(dirname "$0")/.." || exit 1
. scripts/mesh.sh
. scripts/mesh_state.sh
mesh_setup
state_set_control_nodes a b c
state_start_control a b c
state_apply_first_document a b c
mesh_start_backend fake a orders

state_expect_within 8 "first order" state_order_succeeds a key-0
number=0
# Idle times below and above the node's limits for idle connections.
for pause in 3 1 3 6; do
  sleep "$pause"
  status=$(state_send_order a "key-$((++number))")
  echo "order after $pause s idle: $status"
  [ "$status" = 200 ] || state_fail "order after $pause s idle: $status"
done
state_finish
