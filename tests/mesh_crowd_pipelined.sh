#!/bin/bash
# A small crowd at the callers' port sends 64 requests on each connection and
# reads no answer.  Guards against a node that holds all requests and answers of
# such clients, or spends all its descriptors on them.
set -u
cd "$(dirname "$0")/.." || exit 1
. scripts/mesh.sh
. scripts/mesh_platform.sh
. scripts/mesh_crowd.sh
mesh_setup
crowd_start_platform

callers=127.0.0.4:$PLATFORM_CALLERS_PORT
crowd_run "pipelined" "$callers" --connections 150 --requests 64 \
  --path /plain/bytes/20000 --field "Host: h"
crowd_restart n4 n5
crowd_run "pipelined bodies" "$callers" --connections 150 --requests 64 \
  --method POST --path /crowd/x --field "Host: h" --length 16000 --send 16000
crowd_finish crowd_pipelined
