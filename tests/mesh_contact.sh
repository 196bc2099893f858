#!/bin/bash
# Guards against nodes that notice only by slow timers (the heartbeat of libzmq,
# the kernel's repetition of a SYN) that they are out of touch with the control
# replicas, so that an acknowledged change is in force late; against replicas
# that accept no change for as long; and against a version that goes back.
set -u
cd "$(dirname "$0")/.." || exit 1
. scripts/mesh.sh
. scripts/mesh_state.sh
. scripts/mesh_relay.sh

# Bounds that the platform states (bounds.contact_s, config_apply_s, ack_s).
contact_ms=3000
apply_ms=2000
ack_ms=4000
# With 1, 2, 3, 4, 7 and 11 s, or 1, 3, 7 and 15 s, between the first SYN and its
# repetitions, the kernel sends none for longer than contact_ms after this time.
outage_ms=7500

# start_control NAME...: starts control replicas whose connections pass relays.
start_control () {
  local name
  for name in "$@"; do relay_run "$name" state_start_control "$name"; done
}

version=1
# change WITHIN_MS SINCE_MS TEXT: submits the next change until it is
# acknowledged, and sets "acked_ms"; counts a failure unless that is within
# WITHIN_MS of SINCE_MS.
change () {
  state_write_variant $((1000 + version)) "$MESH_DIR/next.json"
  until state_apply_document a "$MESH_DIR/next.json" "$version" \
    "change-$version" --timeout-ms 500; do
    state_now_ms
    [ "$REPLY" -lt $(($2 + 30000)) ] \
      || { state_fail "no ack within 30 s $3"; state_finish; }
  done
  version=$REPLY
  state_now_ms
  acked_ms=$REPLY
  [ "$acked_ms" -le $(($2 + $1)) ] \
    || state_fail "ack $((acked_ms - $2)) ms $3, limit $1"
}

# expect_in_force SINCE_MS TEXT NODE...: the version must be in force at each
# NODE when it has been in touch for contact_ms since SINCE_MS, and acknowledged
# for apply_ms.
expect_in_force () {
  local since_ms=$1 text=$2 name limit_ms
  shift 2
  limit_ms=$((since_ms + contact_ms))
  [ $((acked_ms + apply_ms)) -le "$limit_ms" ] \
    || limit_ms=$((acked_ms + apply_ms))
  for name in "$@"; do
    mesh_wait_until 30 state_has_version "$name" "$version"
    state_now_ms
    echo "version $version at $name: $((REPLY - since_ms)) ms $text," \
      "$((REPLY - acked_ms)) ms after the ack; limit $((limit_ms - since_ms)) ms"
    [ "$REPLY" -le "$limit_ms" ] \
      || state_fail "version $version in force too late at $name"
  done
}

mesh_setup
state_set_control_nodes a b c
mesh_reserve_node_ports d e
relay_start_all a b c d e || state_fail "the relays do not start"
start_control a b c
for name in d e; do relay_run "$name" state_start_plain "$name"; done
state_apply_first_document a b c d e
state_start_polling a b c d e

# The open connections between a plain node and all replicas go silent; the
# change comes before and after the node must be in touch again.
for delay_s in 0.5 3.2; do
  sleep 2
  for name in a b c; do relay_silence_pair d "$name"; done
  state_now_ms
  silent_ms=$REPLY
  sleep "$delay_s"
  change $((contact_ms + ack_ms)) "$silent_ms" "after the silence of d"
  expect_in_force "$silent_ms" "after the silence" d
done

# The open connections between the replicas go silent.
sleep 2
relay_silence_pair a b
relay_silence_pair a c
relay_silence_pair b c
state_now_ms
silent_ms=$REPLY
change $((contact_ms + ack_ms)) "$silent_ms" "after the silence of the replicas"
expect_in_force "$silent_ms" "after the silence" a b c d e

# All replicas lose power, and start again with their disks.
sleep 2
state_kill a b c
for name in a b c; do relay_drop_connects "$name"; done
sleep $((outage_ms / 1000)).$((outage_ms % 1000))
for name in a b c; do relay_restore "$name" || state_fail "no relay"; done
start_control a b c
state_now_ms
started_ms=$REPLY
change $((contact_ms + ack_ms)) "$started_ms" "after the start of the replicas"
expect_in_force "$started_ms" "after the start" d e
state_check_polled_versions
state_finish
