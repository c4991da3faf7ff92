#!/usr/bin/env -S node --max-semi-space-size=1
/** Stands in the repository, so that npm finds an executable file before the first build. */

import "../dist/main.js";
