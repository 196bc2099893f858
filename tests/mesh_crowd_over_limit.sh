#!/bin/bash
# A small crowd at the callers' port sends bodies over the limit, announced or
# just sent.  Guards against a node that reads and holds them, and against one
# that ends when such a request is given up.
set -u
cd "$(dirname "$0")/.." || exit 1
. scripts/mesh.sh
. scripts/mesh_platform.sh
. scripts/mesh_crowd.sh
mesh_setup
CROWD_BODY_BYTES_MAX=1000000
CROWD_UPLOAD_BYTES=1000000
crowd_start_platform

callers=127.0.0.4:$PLATFORM_CALLERS_PORT
crowd_run "announced" "$callers" --connections 150 --method POST \
  --path /crowd-upload/x --field "Host: h" --length 100000000 --send 4000000
crowd_restart n4 n5
crowd_run "sent" "$callers" --connections 150 --method POST \
  --path /crowd-upload/x --field "Host: h" --chunk 50000 --send 4000000
crowd_restart n4 n5
crowd_run "sent and repeatable" "$callers" --connections 150 --method POST \
  --path /crowd/x --field "Host: h" --chunk 50000 --send 4000000
crowd_finish crowd_over_limit
