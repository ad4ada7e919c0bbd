#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/verbenaroute ] && [ -x target/standin2 ] || { echo "build target/verbenaroute and run review/build-2.sh first"; exit 2; }
exec target/standin2 reset review/8/record.txt
