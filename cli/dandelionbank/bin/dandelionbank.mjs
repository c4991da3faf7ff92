#!/usr/bin/env node
/** Stands in the repository, so that npm finds an executable file before the first build. */

import "../dist/main.js";
