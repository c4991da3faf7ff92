#!/bin/sh
# Builds the stand-ins of the cases 6 to 9, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
npm run --silent build
