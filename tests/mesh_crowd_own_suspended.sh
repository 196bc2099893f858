#!/bin/bash
# A crowd sends bodies to the own interface of a node that is suspended for a
# moment.  Guards against a node for which the kernel holds as much memory as
# such clients send while the node does not read.
set -u
cd "$(dirname "$0")/.." || exit 1
CROWD_COUNT_KERNEL=1 exec tests/mesh_crowd_own.sh suspended
