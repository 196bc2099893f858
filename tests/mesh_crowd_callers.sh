#!/bin/bash
# A small crowd at the callers' port sends bodies of legal size that stop just
# short of their end, and stays.  Guards against a node that holds as much
# memory as such clients send: the sum of what connections hold has no bound.
set -u
cd "$(dirname "$0")/.." || exit 1
. scripts/mesh.sh
. scripts/mesh_platform.sh
. scripts/mesh_crowd.sh
mesh_setup
crowd_start_platform

callers=127.0.0.4:$PLATFORM_CALLERS_PORT
crowd_run "length" "$callers" --connections 150 --method POST \
  --path /crowd/x --field "Host: h" --length 1000000 --send 999999
crowd_restart n4 n5
crowd_run "large chunks" "$callers" --connections 150 --method POST \
  --path /crowd-upload/x --field "Host: h" --chunk 50000 --send 1000000
crowd_restart n4 n5
crowd_run "small chunks" "$callers" --connections 150 --method POST \
  --path /crowd-once/x --field "Host: h" --chunk 1 --send 400000
crowd_finish crowd_callers
