#!/bin/bash
# A short soak run under the users' platform with a fixed seed; see
# scripts/soak-gate.  Guards against failures that need several faults at the
# same time.
exec "$(dirname "$0")/../scripts/soak-gate" "${1:-1}" "${2:-12}"
