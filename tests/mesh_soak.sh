#!/bin/bash
# A short randomised run with real processes and a fixed seed; see
# scripts/soak.  Guards against faults that only appear together.
exec "$(dirname "$0")/../scripts/soak" "${1:-1}" "${2:-12}"
