# Prints and counts the violations of a soak run.  Sourced by soak-check and
# soak-gate-check.

violations=0
# The last command of a pipe runs in this shell, so that "report" can change
# "violations".
shopt -s lastpipe

# report TEXT: reads violations of check TEXT from standard input, one a line;
# counts them and prints the first ten.
report () {
  local lines
  lines=$(cat)
  [ -n "$lines" ] || { echo "ok   $1"; return; }
  violations=$((violations + $(echo "$lines" | wc -l)))
  echo "FAIL $1"
  echo "$lines" | head -n 10
}
