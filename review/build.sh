#!/usr/bin/env bash
# The stand-ins of the cases are plain Node.js modules without dependencies: there is nothing to
# compile. This only checks that they can be parsed.
set -eu
cd "$(dirname "${BASH_SOURCE[0]}")"
for file in harness.mjs usual.mjs */case.mjs; do
  node --check "$file"
done
