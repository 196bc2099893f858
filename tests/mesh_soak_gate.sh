#!/bin/bash
# A short randomised run with real processes under the users' platform and a
# fixed seed; see scripts/soak-gate.  Guards against faults that only appear
# together.
exec "$(dirname "$0")/../scripts/soak-gate" "${1:-1}" "${2:-12}"
