#!/bin/bash
# A crowd at the callers' port sends headers that stop short, inside the limit
# and far over it.  Guards against a node that holds all that such clients send,
# and against one that waits for the rest of a header for good.
set -u
cd "$(dirname "$0")/.." || exit 1
. scripts/mesh.sh
. scripts/mesh_platform.sh
. scripts/mesh_crowd.sh
mesh_setup
crowd_start_platform

callers=127.0.0.4:$PLATFORM_CALLERS_PORT
crowd_run "short headers" "$callers" --connections 600 \
  --path /plain/x --field "Host: h" --unfinished-field --send 16000
crowd_restart n4 n5
crowd_run "long headers" "$callers" --connections 150 \
  --path /plain/x --field "Host: h" --unfinished-field --send 1000000
crowd_finish crowd_headers
