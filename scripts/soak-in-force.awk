# Prints the nodes at which an accepted version was not in force in time; see
# report_in_force in soak-report.sh.  Input, by time in ms: "MS ack VERSION",
# "MS begin NODE" (process started), "MS force NODE VERSION CONFIRMED", and the
# lines of "contact".  CONTROL_NODES lists the control replicas.
#
# A version must be in force apply_ms after its ack at each node that has been in
# touch for contact_ms: without silent connections, without a fault of its own,
# with a quorum of replicas, and without the loss of a replica, which may be the
# leader.

BEGIN {
  contact_ms = 3000 # bounds.contact_s of the platform
  apply_ms = 2000 # bounds.config_apply_s
  # A replica that has lost its disk is a voter again after this time, the bound
  # of mesh_lost_disk.sh.
  rejoin_ms = 10000
  step_ms = 20
  OFMT = "%.0f" # mawk prints times with 6 digits otherwise
  first_ack = ack_count = due = 0
  control_count = split (control_nodes, names, " ")
  for (i = 1; i <= control_count; i++)
    control[names[i]] = 1
}

function cut (node, ms) {
  if (ms + contact_ms > in_touch_ms[node])
    in_touch_ms[node] = ms + contact_ms
}

function cut_all (ms, node) {
  for (node in in_force)
    cut(node, ms)
}

function has_quorum (ms, node, count) {
  for (node in control)
    count += !(node in down) && ms >= rejoined_ms[node]
  return 2 * count > control_count
}

function check (ms, node) {
  while (first_ack < ack_count && ack_ms[first_ack] + apply_ms <= ms) {
    if (ack_version[first_ack] > due)
      due = ack_version[first_ack]
    first_ack++
  }
  if (!has_quorum(ms))
    cut_all(ms)
  for (node in in_force) {
    all++
    if ((node in down) || ms < in_touch_ms[node])
      continue
    checked++
    if (in_force[node] >= due || reported[node] >= due)
      continue
    print node, "at", ms, "has version", in_force[node], "not", due
    reported[node] = due
  }
}

NR == 1 { next_ms = $1 }
{ for (; next_ms < $1 && !ended; next_ms += step_ms) check(next_ms) }
$2 == "ack" { ack_ms[ack_count] = $1; ack_version[ack_count++] = $3 + 0 }
$2 == "begin" { in_force[$3] = 0; cut($3, $1) }
$2 == "force" && $4 + 0 > in_force[$3] { in_force[$3] = $4 + 0 }
$2 == "down" { down[$3] = 1; if ($3 in control) cut_all($1) }
$2 == "wiped" { wiped[$3] = 1 }
$2 == "up" {
  delete down[$3]
  cut($3, $1)
  if ($3 in wiped)
    rejoined_ms[$3] = $1 + rejoin_ms
  delete wiped[$3]
}
$2 == "silent" && ($3 == "all" || (NF == 3 && $3 in control)) { cut_all($1) }
$2 == "silent" { cut($3, $1); if (NF == 4) cut($4, $1) }
$2 == "end" { ended = 1 }
END { printf "%d of %d\n", checked, all >"in-force-checks" }
