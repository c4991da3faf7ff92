#!/bin/sh
# The stand-ins in review/lib are plain JavaScript modules without dependencies;
# this only checks that they can be parsed.
cd "$(dirname "$0")" || exit 1
for file in lib/*.mjs [1-5]/*.mjs; do
  node --check "$file" || exit 1
done
