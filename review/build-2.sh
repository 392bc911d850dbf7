#!/bin/sh
# Builds the project and its stand-ins, for the scripts of the cases from 6 on. Run it after the build
# of the deploy file; both may be run more than once.
set -e
cd "$(dirname "$0")/.."
[ node_modules -nt package-lock.json ] || npm ci --silent
npx tsc -b
node deploy/bundle.mjs
