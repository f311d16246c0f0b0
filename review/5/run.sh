#!/usr/bin/env bash
# Case 5: an entry of another writer with missing fields keeps a group held for ever after a final fault.
# Exits 1 if RECOVER was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
python3 -c 'import tomllib' 2> /dev/null || exit 2
test -x ../../target/release/lynxmount || exit 2
export PYTHONDONTWRITEBYTECODE=1
exec timeout 115 python3 case.py
