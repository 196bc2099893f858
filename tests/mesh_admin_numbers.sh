#!/bin/bash
# Changes at the own interface whose base version or change id is not what the
# product can hold.  Guards against a change that is accepted on another base,
# or taken for a resend of another change, because a value was cut.
set -u
cd "$(dirname "$0")/.." || exit 1
. scripts/mesh.sh
. scripts/mesh_state.sh
mesh_setup
state_set_control_nodes a b c
state_start_control a b c

# put BASE ID: sends the document as a change; prints the HTTP status.
put () {
  curl -s -m 3 -o /dev/null -w '%{http_code}' -X PUT \
    --data-binary "@$STATE_DOCUMENT" \
    "http://${MESH_ADMIN[a]}/v1/document?base=$1&change_id=$2"
}
put_is () { [ "$(put "$1" "$2")" = "$3" ]; }

state_write_document
mesh_wait_until 10 put_is 9 early 409 || state_fail "no leader"
for base in "" %200 +0 -0 0x0 0.0 18446744073709551616 \
  100000000000000000000000000000000000000; do
  status=$(put "$base" "base-$base")
  [ "$status" = 400 ] || state_fail "base \"$base\" gets $status, not 400"
done
long=$(printf '%063d' 0)
put_is 0 "$long" 200 || state_fail "a change id of 63 characters is refused"
for id in "${long}1" "${long}22222"; do
  status=$(put 0 "$id")
  [ "$status" = 400 ] || state_fail "change id $id gets $status, not 400"
done
for version in "" x 18446744073709551616; do
  status=$(curl -s -m 3 -o /dev/null -w '%{http_code}' \
    "http://${MESH_ADMIN[a]}/v1/behind?version=$version")
  [ "$status" = 400 ] || state_fail "version \"$version\" gets $status, not 400"
done
echo "numbers of the admin interface: ok"
