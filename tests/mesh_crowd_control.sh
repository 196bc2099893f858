#!/bin/bash
# A small crowd at the control ports sends calls of legal size that stop just
# short of their end, and stays.  Guards against a control replica or a node
# that holds as much memory as such clients send.
set -u
cd "$(dirname "$0")/.." || exit 1
. scripts/mesh.sh
. scripts/mesh_platform.sh
. scripts/mesh_crowd.sh
mesh_setup
crowd_start_platform

CROWD_CHANGES=yes
replica=127.0.0.1:$PLATFORM_CONTROL_PORT
crowd_run "long calls" "$replica" --connections 8 --method POST \
  --path /-/Config.Replace --field "Host: h" \
  --field "X-Sycamorerudder-Base-Version: r0" --length 16000000 --send 15999999
crowd_restart c1
crowd_run "many calls" "$replica" --connections 150 --method POST \
  --path /-/Config.Replace --field "Host: h" \
  --field "X-Sycamorerudder-Base-Version: r0" --chunk 50000 --send 1000000
crowd_restart c1
crowd_run "heartbeats" "127.0.0.5:$PLATFORM_CONTROL_PORT" --connections 150 \
  --method POST --path /-/Instances.Heartbeat/i-9 --field "Host: h" \
  --length 1000000 --send 999999
crowd_finish crowd_control
