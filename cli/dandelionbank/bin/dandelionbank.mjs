#!/usr/bin/env node
/** Part of the sources, so that npm finds an executable file before the first build. */

import "../dist/main.js";
