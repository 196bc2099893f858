#!/bin/bash
# Loss of all control replicas of one place, with their disks, under settings
# that ask to bear it; two of the three seeds are in that place.  Guards against
# votes that stay where the seeds were, so that the loss of one place ends the
# group: "zones" and "regions" of fault_tolerance, and votes after a reload.
set -u
cd "$(dirname "$0")/.." || exit 1
. scripts/mesh.sh
. scripts/mesh_platform.sh
mesh_setup

# fail TEXT: prints TEXT and the ends of the logs, and exits.
fail () {
  echo "FAIL: $1"
  grep -h "log members\|log role\|tolerance" "$MESH_DIR"/*.log | tail -n 30
  tail -n 5 "$MESH_DIR"/*.log
  exit 1
}

config_is () { platform_get_config "$1" | cmp -s - "$2"; }

# start_replica NAME IP ZONE BOOTSTRAP
start_replica () {
  PLATFORM_ZONE=$3 platform_start_replica "$1" "$2" "$4"
}

# votes_are_spread: whether the newest memberships of both groups have the votes
# of c3, c4 and one of c1 and c2.
votes_are_spread () {
  local group voters
  for group in 0 1; do
    voters=$(cat "$MESH_DIR"/*.log | grep "\"log members\" group=$group " \
      | sed 's/.*index=\([0-9]*\) voters=\([^ ]*\) .*/\1 \2/' | sort -n \
      | tail -n 1 | cut -d ' ' -f 2 | tr ',' '\n' | sed 's/:.*//' | sort \
      | tr '\n' ' ')
    case $voters in
      "127.0.0.1 127.0.0.3 127.0.0.4 ") ;;
      "127.0.0.2 127.0.0.3 127.0.0.4 ") ;;
      *) return 1 ;;
    esac
  done
}

# run_case NAME TOLERANCE LATER ZONES ZONE...: four replicas in the zones ZONE,
# of which the first three are seeds and the first two are lost.  Starts with
# TOLERANCE, which is replaced by LATER with a SIGHUP if it is not empty.
run_case () {
  local name=$1 later=$3 zone ips="" i
  local -a zones=("${@:5}")
  PLATFORM_TOLERANCE=$2 PLATFORM_ZONES=$4
  platform_reserve_ports 127.0.0.1 127.0.0.2 127.0.0.3
  rm -rf "$MESH_DIR"/*.log "$MESH_DIR"/*.data
  for i in 1 2 3 4; do
    start_replica "c$i" "127.0.0.$i" "${zones[i - 1]}" true
  done
  platform_print_config 2 >"$MESH_DIR/r2"
  mesh_wait_until 10 platform_apply_config 127.0.0.3 0 "$MESH_DIR/r2" \
    || fail "$name: the first change is not accepted"
  if [ -n "$later" ]; then
    PLATFORM_TOLERANCE=$later
    for i in 1 2 3 4; do
      sed -i "s/\"fault_tolerance\".*/\"fault_tolerance\": {$later}}/" \
        "$MESH_DIR/c$i.json"
      mesh_signal "c$i" HUP
    done
  fi
  # One of the two stays when it leads, the other gives up its vote.
  mesh_wait_until 10 votes_are_spread \
    || fail "$name: the votes are not in three places"

  mesh_kill c1
  mesh_kill c2
  rm -rf "$MESH_DIR/c1.data" "$MESH_DIR/c2.data"
  platform_print_config 4 >"$MESH_DIR/r4"
  mesh_wait_until 10 platform_apply_config 127.0.0.4 r2 "$MESH_DIR/r4" \
    || fail "$name: no change is accepted without the lost place"
  start_replica c1 127.0.0.1 "${zones[0]}" false
  start_replica c2 127.0.0.2 "${zones[1]}" false
  for i in 1 2 3 4; do
    mesh_wait_until 8 config_is "127.0.0.$i" "$MESH_DIR/r4" \
      || fail "$name: the change is lost at c$i"
  done
  # The other places, one after the other, each catch_up_s after the return of
  # the one before it.
  for i in 3 4; do
    sleep 4
    votes_are_spread \
      || fail "$name: the votes are not in three places after the loss"
    mesh_kill "c$i"
    rm -rf "$MESH_DIR/c$i.data"
    platform_print_config $((i * 2)) >"$MESH_DIR/r$((i * 2))"
    mesh_wait_until 10 platform_apply_config "127.0.0.$((7 - i))" \
      "r$((i * 2 - 2))" "$MESH_DIR/r$((i * 2))" \
      || fail "$name: no change is accepted without c$i"
    start_replica "c$i" "127.0.0.$i" "${zones[i - 1]}" false
    mesh_wait_until 8 config_is "127.0.0.$i" "$MESH_DIR/r$((i * 2))" \
      || fail "$name: the change is lost at c$i"
  done
  for i in 1 2 3 4; do
    mesh_stop "c$i" 6 || fail "$name: c$i does not stop cleanly"
  done
  echo "$name: ok"
}

# run_short_of_places: three replicas in two zones cannot bear the loss of one;
# this is reported, and the loss of a machine is borne.
run_short_of_places () {
  PLATFORM_TOLERANCE='"zones": 1' PLATFORM_ZONES=
  platform_reserve_ports 127.0.0.1 127.0.0.2 127.0.0.3
  rm -rf "$MESH_DIR"/*.log "$MESH_DIR"/*.data
  start_replica c1 127.0.0.1 a true
  start_replica c2 127.0.0.2 a true
  start_replica c3 127.0.0.3 b true
  platform_print_config 2 >"$MESH_DIR/r2"
  mesh_wait_until 10 platform_apply_config 127.0.0.3 0 "$MESH_DIR/r2" \
    || fail "short: the first change is not accepted"
  mesh_wait_until 15 grep -q '"tolerance is not met" group=0 missing_instances=0 missing_domains=1' \
    "$MESH_DIR/c1.log" "$MESH_DIR/c2.log" "$MESH_DIR/c3.log" \
    || fail "short: it is not logged that the tolerance is not met"
  mesh_kill c2
  rm -rf "$MESH_DIR/c2.data"
  platform_print_config 4 >"$MESH_DIR/r4"
  mesh_wait_until 10 platform_apply_config 127.0.0.3 r2 "$MESH_DIR/r4" \
    || fail "short: no change is accepted without a machine"
  for i in 1 3; do
    mesh_stop "c$i" 6 || fail "short: c$i does not stop cleanly"
  done
  echo "short of places: ok"
}

run_short_of_places
run_case zones '"machines": 0, "zones": 1, "regions": 0' "" "" a a b c
run_case regions '"machines": 1, "zones": 0, "regions": 1' "" \
  '"a1": "a", "a2": "a", "b1": "b", "c1": "c"' a1 a2 b1 c1
run_case reload '"machines": 1' '"machines": 1, "zones": 1' "" a a b c
