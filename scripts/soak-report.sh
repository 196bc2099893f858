# Sourced by the checks of soak runs.

violations=0
# "report" counts in this shell, not in one of the pipe.
shopt -s lastpipe

# report TEXT: reads violations from standard input and counts them.
report () {
  local lines
  lines=$(cat)
  [ -n "$lines" ] || { echo "ok   $1"; return; }
  violations=$((violations + $(echo "$lines" | wc -l)))
  echo "FAIL $1"
  echo "$lines" | head -n 10
}
