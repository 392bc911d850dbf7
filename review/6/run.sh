#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. What was sent, answered and run is written to record.txt in this folder.
cd "$(dirname "$0")/../.." || exit 2
# Without the builds the case could not run, which must not look like a broken rule.
[ -f target/azurecart-gateway.cjs ] || exit 2
TROUBLE="${TROUBLE:-1}"
export TROUBLE
rm -f review/6/record.txt
node review/6/case.mjs
status=$?
[ -f review/6/record.txt ] || exit 2
exit "$status"
