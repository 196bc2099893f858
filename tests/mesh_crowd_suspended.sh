#!/bin/bash
# A small crowd sends bodies to a node that is suspended for a few seconds.
# Guards against a node for which the kernel holds as much memory as such
# clients send while the node does not read.
set -u
cd "$(dirname "$0")/.." || exit 1
. scripts/mesh.sh
. scripts/mesh_platform.sh
. scripts/mesh_crowd.sh
mesh_setup
crowd_start_platform

CROWD_SUSPENDED=n4
crowd_run "callers" "127.0.0.4:$PLATFORM_CALLERS_PORT" --connections 600 \
  --method POST --path /crowd/x --field "Host: h" --length 250000 --send 249999
crowd_restart n4 n5
# shellcheck disable=SC2034 # read by crowd_run
CROWD_SUSPENDED=n5
crowd_run "nodes" "127.0.0.5:$PLATFORM_LAST_PORT" --connections 600 \
  --method POST --path /crowd/x --field "Host: h" \
  --field "Rudder-Request: b 2 8000 5000 50 1f 1 0 0" --length 250000 \
  --send 249999
crowd_finish crowd_suspended
