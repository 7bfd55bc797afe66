#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
# Writes what was sent, answered and run to record.txt beside this script.
cd "$(dirname "$0")/../.." || exit 2
ulimit -n "$(ulimit -Hn)"
exec target/review-2/release/review-2 deadly-part review/9/record.txt
