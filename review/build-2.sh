#!/bin/sh
# The stand-ins of cases 6 to 10 are plain JavaScript modules of this folder; nothing has to be
# compiled. Checks that each of them parses.
cd "$(dirname "$0")" || exit 2
for file in standins-2/*.mjs [0-9]*/run.mjs; do
  [ -e "$file" ] || continue
  node --check "$file" || exit 1
done
