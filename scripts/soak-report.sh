# Prints and counts the violations of a soak run.  Sourced by soak-check and
# soak-gate-check.

violations=0
report_dir=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
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

# report_in_force CONTROL_NODES: checks by the logs of the nodes and the file
# "contact" (see soak-events.sh) that each accepted version is in force in time
# at the nodes that are in touch, and that none goes back.  Reads lines "MS ack
# VERSION" from standard input.
report_in_force () {
  {
    cat - contact
    sed -n 's/^time=\([0-9]*\)\.\([0-9]*\) .* node=\([^ ]*\) msg="started" .*/\1\2 begin \3/p
      s/^time=\([0-9]*\)\.\([0-9]*\) .* node=\([^ ]*\) msg="configuration in force" version=\([0-9]*\) confirmed=\([01]\) .*/\1\2 force \3 \4 \5/p' \
      ./*.log
  } | sort -s -n -k1,1 >in-force
  awk -v control_nodes="$1" -f "$report_dir/soak-in-force.awk" in-force \
    | report "accepted versions are in force in time"
  awk '$2 == "force" && $5 == 1 && $4 + 0 < newest[$3] {
      print $3, "at", $1, "has", $4, "after", newest[$3] }
    $2 == "force" && $5 == 1 && $4 + 0 > newest[$3] { newest[$3] = $4 + 0 }' \
    in-force | report "confirmed versions in force do not decrease"
}
