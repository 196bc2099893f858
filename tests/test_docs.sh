#!/bin/sh
# Guards against an operators' page that omits a reason, a counter or a field
# of the document, or names one that the code does not have.
set -u
cd "$(dirname "$0")/.."

page=docs/operating.md
failed=0
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# page_names MARKER: prints the names in the first column of the table after
# MARKER.
page_names () {
  sed -n "/<!-- table: $1 -->/,/^## /p" "$page" \
    | sed -n 's/^| `\([^`]*\)` |.*/\1/p'
}

# reason_names MACRO: prints the names in the rows of a table macro of
# core/reason.h.
reason_names () {
  sed -n "/#define $1(X)/,/[^\\]$/p" core/reason.h \
    | sed -n 's/^ *X ([A-Z_]*, "\([a-z-]*\)".*/\1/p'
}

counter_names () {
  grep -hoE '"rudder_[a-z_]+"' core/counter.h core/counter.c | tr -d '"' | uniq
}

# Prints the last components of the paths of all fields of the document.
field_names () {
  grep -oE '\.name = "[a-z_]+"' wire/schema.c | cut -d'"' -f2
}

# compare NAME: compares the names in "code" with those in "page".
compare () {
  sort -u "$work/code" >"$work/code.sorted"
  sort -u "$work/page" >"$work/page.sorted"
  count=$(wc -l <"$work/code.sorted")
  if [ "$count" -eq 0 ] || ! diff "$work/code.sorted" "$work/page.sorted"
  then
    echo "$1: $page and the code differ ($count names in the code)"
    failed=1
  else
    echo "$1: $count names agree"
  fi
}

reason_names REASON_REFUSAL_TABLE >"$work/code"
page_names refusals >"$work/page"
compare refusals

reason_names REASON_RETRY_TABLE >"$work/code"
page_names retries >"$work/page"
compare retries

counter_names >"$work/code"
page_names counters >"$work/page"
compare counters

field_names >"$work/code"
page_names fields | sed 's/.*\.//' >"$work/page"
compare fields

exit "$failed"
