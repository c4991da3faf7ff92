#!/usr/bin/env -S node --max-semi-space-size=1 --wasm-tiering-budget=1000000000 --single-threaded-gc --v8-pool-size=1 --optimize-for-size
/** Stands in the repository, so that npm finds an executable file before the first build. */

import "../dist/main.js";
