#!/bin/bash
# A small crowd at the port for other nodes sends bodies that stop just short of
# their end, and stays.  Guards against a node beside a server that holds as
# much memory as such clients send.
set -u
cd "$(dirname "$0")/.." || exit 1
. scripts/mesh.sh
. scripts/mesh_platform.sh
. scripts/mesh_crowd.sh
mesh_setup
crowd_start_platform

nodes=127.0.0.5:$PLATFORM_LAST_PORT
request="Rudder-Request: b 2 8000 5000 50 1f 1 0 0"
crowd_run "length" "$nodes" --connections 150 --method POST --path /crowd/x \
  --field "Host: h" --field "$request" --length 1000000 --send 999999
crowd_restart n5
crowd_run "chunks" "$nodes" --connections 150 --method POST --path /crowd/x \
  --field "Host: h" --field "$request" --chunk 50000 --send 1000000
crowd_restart n5
# Less than what a node waits for before it sends on a body that is not whole.
crowd_run "small bodies" "$nodes" --connections 600 --method POST \
  --path /crowd/x --field "Host: h" --field "$request" --length 250000 \
  --send 249999
crowd_finish crowd_nodes
