#!/bin/sh
# The stand-ins of cases 11 and later are plain modules: there is nothing to compile.
# Checks that this Node.js can read them.
cd "$(dirname "$0")/.." || exit 1
for file in review/lib-3/*.mjs review/1[1-5]/*.mjs; do
  node --check "$file" || exit 1
done
