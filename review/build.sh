#!/bin/bash
# Builds what the scripts start beside the deploy file's program. The stand-ins
# are plain programs for Node 20 without packages: there is nothing to compile,
# so they are only checked.
set -e
cd "$(dirname "$0")"
for program in standins/*.mjs [1-5]/*.mjs; do
  [ -e "$program" ] && node --check "$program"
done
