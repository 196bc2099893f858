#!/bin/bash
# A short soak run under the users' platform with a fixed seed; see
# scripts/soak-gate.  Guards against failures that need several faults at the
# same time.  In 26 s the mesh loses contact with the control replicas in each of
# the four ways.
exec "$(dirname "$0")/../scripts/soak-gate" "${1:-1}" "${2:-26}"
