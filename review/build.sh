#!/bin/sh
# Builds the stand-ins of the scripts under review/ into review/build/.  The
# scripts start no other stand-ins; the node is built by the deploy file.
set -eu
cd "$(dirname "$0")"
mkdir -p build
for source in lab/*.c; do
  name=$(basename "$source" .c)
  [ "$name" = lab ] && continue
  ${CC:-gcc} -std=gnu11 -O2 -Wall -Wextra -pthread -o "build/$name" \
    "$source" lab/lab.c
done
