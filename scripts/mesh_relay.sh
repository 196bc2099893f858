# Relays between the nodes of a mesh: one for each pair of a connecting node and
# the node that it connects to.  They make open connections silent while new
# ones work, and stand in for machines without power.  Sourced after mesh.sh.

declare -A RELAY_PORT # port of the relays of a connecting node, by its name
RELAY_NODES=() # names of all nodes
RELAY_PRELOAD=$PWD/$MESH_BIN/tests/redirect_connect.so

# relay_set_address FROM TO: sets REPLY to the address of the relay for
# connections of FROM to TO.  The name of TO ends with a digit or a letter,
# which selects the IP address.
relay_set_address () {
  local ends=123456789abcdefgh before
  before=${ends%%"${2: -1}"*}
  REPLY=127.0.1.$((${#before} + 1)):${RELAY_PORT[$1]}
}

# relay_start FROM TO: starts a relay, and waits until it accepts connections
# and signals.
relay_start () {
  relay_set_address "$1" "$2"
  mesh_start_process "relay-$1-$2" "$MESH_BIN/rudder-relay" \
    --listen "$REPLY" --to "${MESH_PEER[$2]}"
  mesh_wait_until 5 relay_accepts "${REPLY%:*}" "${REPLY#*:}"
}

# relay_accepts IP PORT: whether a connection is accepted.
relay_accepts () {
  (exec 3<>"/dev/tcp/$1/$2") 2>/dev/null
}

# relay_start_all NODE...: starts the relays between these nodes, whose peer
# addresses are in MESH_PEER.
relay_start_all () {
  local from to
  RELAY_NODES=("$@")
  for from in "$@"; do
    mesh_reserve_port
    RELAY_PORT[$from]=$REPLY
  done
  for to in "$@"; do
    relay_start_to "$to" || return 1
  done
}

# relay_start_to NODE: starts the relays to NODE.
relay_start_to () {
  local from
  for from in "${RELAY_NODES[@]}"; do
    [ "$from" = "$1" ] || relay_start "$from" "$1" || return 1
  done
}

# relay_run NODE COMMAND...: runs COMMAND, which starts NODE; its connections to
# other nodes pass the relays.
relay_run () {
  local to list=
  for to in "${RELAY_NODES[@]}"; do
    [ "$to" = "$1" ] && continue
    relay_set_address "$1" "$to"
    list=$list${list:+,}${MESH_PEER[$to]}=$REPLY
  done
  MESH_REDIRECT=$list LD_PRELOAD=$RELAY_PRELOAD "${@:2}"
}

# relay_silence_pair NODE NODE: makes the open connections between two nodes
# silent for good.
relay_silence_pair () {
  mesh_signal "relay-$1-$2" USR1
  mesh_signal "relay-$2-$1" USR1
}

# relay_silence_node NODE: the same for all connections of a node.
relay_silence_node () {
  local other
  for other in "${RELAY_NODES[@]}"; do
    [ "$other" = "$1" ] || relay_silence_pair "$1" "$other"
  done
}

# The same for the connections of all nodes.
relay_silence_all () {
  local node
  for node in "${RELAY_NODES[@]}"; do relay_silence_node "$node"; done
}

# relay_drop_connects NODE: closes the connections to NODE and drops each SYN to
# it, until relay_restore.
relay_drop_connects () {
  local from
  for from in "${RELAY_NODES[@]}"; do
    [ "$from" = "$1" ] && continue
    mesh_kill "relay-$from-$1"
    relay_set_address "$from" "$1"
    mesh_start_process "relay-$from-$1" "$MESH_BIN/rudder-relay" \
      --listen "$REPLY" --drop-connects
  done
}

# relay_restore NODE: connections to NODE work again.
relay_restore () {
  local from
  for from in "${RELAY_NODES[@]}"; do mesh_kill "relay-$from-$1"; done
  relay_start_to "$1"
}
