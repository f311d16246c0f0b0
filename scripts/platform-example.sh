#!/usr/bin/env bash
# Runs an entry against stand-ins of the users' platform on loopback, makes two
# calls and stops everything. Ports 7901 to 7933 of 127.0.0.1.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --quiet -p lynxmount -p lynxmount-platform-standin
folder=$(mktemp -d)
target/debug/lynxmount-platform-standin > "$folder/settings.conf" &
standin=$!
trap 'kill "$standin" ${entry:+"$entry"} 2>/dev/null || true; rm -r "$folder"' EXIT
wait_for() { for _ in $(seq 400); do "$@" && return; sleep 0.05; done; echo "gave up: $*" >&2; exit 1; }
wait_for test -s "$folder/settings.conf"
target/debug/lynxmount platform-entry --settings "$folder/settings.conf" > "$folder/log" &
entry=$!
is_ready() { curl -sf -o /dev/null http://127.0.0.1:7902/lynxmount/readyz; }
wait_for is_ready
call() { curl -sN --fail -H 'Host: desk.example' -H 'X-Credential: claims-key' "http://127.0.0.1:7901$1"; echo; }
echo "== a lookup; one of its two replicas sheds"
call /lookup/17
echo "== a stream; one of its two replicas breaks off after three events"
call /draft/17
echo "== the entry's log"
cat "$folder/log"
