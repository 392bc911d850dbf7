#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run; writes record.txt in
# this folder. TROUBLE=0 leaves the disruption out.
exec node "$(dirname "${BASH_SOURCE[0]}")/case.mjs"
