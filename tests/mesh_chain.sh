#!/bin/bash
# Guards against retry amplification: retries that multiply with the depth of a
# call chain.  The deepest service fails every request.  Prints the attempts
# for one caller's request at several depths; the bound is the calls of all
# attempts of the caller plus the chain allowance.
# Usage: mesh_chain.sh [DEPTH...]
set -u
cd "$(dirname "$0")/.." || exit 1
. scripts/mesh.sh
. scripts/mesh_request.sh
mesh_setup
allowance=3
resends=2
depths=${*:-1 4 12 29}
deepest=$(echo "$depths" | tr ' ' '\n' | sort -n | tail -n 1)

# Document with services s1 ... sN.
{
  echo '{"format": 1, "headers": ["x-caller-id"],'
  echo ' "callers": {"header": "x-caller-id"},'
  echo " \"retry\": {\"chain_allowance\": $allowance, \"budget_percent\": 100},"
  echo ' "services": ['
  for i in $(seq "$deepest"); do
    [ "$i" -eq 1 ] || echo ','
    echo "{\"name\": \"s$i\", \"slots\": 16, \"connections\": 64,
      \"kinds\": [{\"name\": \"read\", \"method\": \"GET\", \"path\": \"/\",
      \"importance\": 50, \"idempotent\": true, \"timeout_ms\": 8000,
      \"retries\": 3}]}"
  done
  echo ']}'
} >"$MESH_DIR/doc.json"

mesh_start_control_nodes n1 n2 n3
mesh_apply_first_document n1 "$MESH_DIR/doc.json" n1 n2 n3

# Two nodes, each with a server, for each service.
nodes=""
for i in $(seq "$deepest"); do
  for copy in a b; do
    mesh_reserve_node_ports "c$i$copy"
    mesh_start_node "c$i$copy" "domain-$copy"
    next=""
    [ "$i" -eq "$deepest" ] \
      || next="--call s$((i + 1))=${MESH_LISTEN[c$i$copy]}"
    # shellcheck disable=SC2086
    mesh_start_backend "f$i$copy" "c$i$copy" "s$i" \
      --slots 16 --service-us 500 \
      --truncate-path "/fail-at-$i/" $next
    nodes="$nodes c$i$copy"
  done
done
for node in $nodes; do
  mesh_wait_until 20 mesh_is_ready "$node" || mesh_fail "$node is not ready"
done
# Every node must list both servers of the service that it calls.
for i in $(seq "$deepest"); do
  for node in n1 "c$((i - 1))a" "c$((i - 1))b"; do
    [ "$node" = c0a ] || [ "$node" = c0b ] \
      || mesh_wait_until 20 mesh_has_serving "$node" "s$i" 2 \
      || mesh_fail "s$i is not listed at $node"
  done
done

for depth in $depths; do
  first_service=$((deepest - depth + 1))
  for resend in 0 $(seq "$resends"); do
    mesh_send_request n1 "s$first_service" GET "/fail-at-$deepest/$depth" \
      -H "Idempotency-Key: chain-$depth" -H "X-Caller-Id: c1"
    case $REPLY in
      502*) ;;
      *) mesh_fail "depth $depth: response $REPLY" ;;
    esac
  done
  attempts=$(mesh_count_starts " GET /fail-at-$deepest/$depth ")
  bound=$((depth * (1 + resends) + allowance))
  echo "depth $depth attempts $attempts bound $bound" \
    "(calls $depth, caller's resends $resends, allowance $allowance)"
  [ "$attempts" -le "$bound" ] || mesh_fail "depth $depth: too many attempts"
  [ "$attempts" -gt "$depth" ] || mesh_fail "depth $depth: too few attempts"
done
mesh_finish
