#!/bin/bash
# One caller that sends an order every now and then.  Guards against a
# non-idempotent request that is given up as "unknown" although no byte of it
# reached the backend server, only because the node's connection to the server
# was idle for some seconds.
set -u
cd "$(dirname "$0")/.." || exit 1
. scripts/mesh.sh
. scripts/mesh_state.sh
mesh_begin
state_nodes a b c
state_start a b c
state_begin a b c
mesh_fake fake a orders

state_must_in 8 "first order" state_ordered a key-0
number=0
# Idle times on both sides of the node's bounds for its idle connections.
for pause in 3 1 3 6; do
  sleep "$pause"
  status=$(state_order a "key-$((++number))")
  echo "order after $pause s idle: $status"
  [ "$status" = 200 ] || state_fail "order after $pause s idle: $status"
done
state_finish
