#!/bin/bash
# A short soak run with a fixed seed; see scripts/soak.  Guards against
# failures that need several faults at the same time.
exec "$(dirname "$0")/../scripts/soak" "${1:-1}" "${2:-12}"
