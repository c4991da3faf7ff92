#!/bin/sh
# Exits with 1 if requests ran with a key that no configuration held, or too late.
cd "$(dirname "$0")" || exit 2
exec node case.mjs
