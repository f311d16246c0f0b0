#!/usr/bin/env bash
# Exits with 0 if the rule held, 1 if it was broken, 2 if the case could not run. TROUBLE=0: without the disruption.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")/../.." && exec timeout -k 2 110 target/review-2/case-4
